/* Library that makes system calls of one process fail temporarily, with errors that Linux documents for them.
 *
 * It is loaded with LD_PRELOAD into a proxy that the soak test starts. SOAK_FAULTS holds rules, separated by spaces:
 *
 *     CALL:ERRNO:PERCENT:FROM_MS:TO_MS        the call fails with ERRNO from FROM_MS to TO_MS after the start
 *     short:0:PERCENT:FROM_MS:TO_MS           reads and writes on sockets transfer fewer bytes than requested
 *
 * A rule applies to PERCENT of its calls. CALL is socket, connect, accept, open (of the configuration file),
 * log (writes to standard error) or wait (epoll). SOAK_CLOCK_MS, truncated to whole seconds, is added to the wall
 * clock. SOAK_SEED seeds the random draws. Nothing outside the process is affected.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_RULES 32
/* In bytes. Smaller transfers are internal wakeups of the program, which the kernel never splits. */
#define MIN_SHORTENED 64

struct fault_rule {
    char call[16];
    int error, percent;
    long from_ms, to_ms;
};

static struct fault_rule rules[MAX_RULES];
static int rule_count;
static long clock_offset_ms;
static uint64_t random_state = 88172645463325252ull;
static struct timespec started_at;

/* Declares `real`, the function with this name that the library overrides. */
#define DECLARE_REAL(type, name, ...)                                                                             \
    static type (*real)(__VA_ARGS__);                                                                             \
    if (!real)                                                                                                    \
    real = (type(*)(__VA_ARGS__))dlsym(RTLD_NEXT, name)

static int real_clock(clockid_t id, struct timespec *at) {
    DECLARE_REAL(int, "clock_gettime", clockid_t, struct timespec *);
    return real(id, at);
}

/* Reads the environment variables; runs when the library is loaded. */
__attribute__((constructor)) static void read_rules(void) {
    const char *text = getenv("SOAK_FAULTS"), *clock = getenv("SOAK_CLOCK_MS"), *seed = getenv("SOAK_SEED");
    real_clock(CLOCK_MONOTONIC, &started_at);
    if (clock)
        clock_offset_ms = atol(clock);
    if (seed)
        random_state ^= (uint64_t)atoll(seed) * 2685821657736338717ull + 1;
    while (text && *text && rule_count < MAX_RULES) {
        struct fault_rule *rule = &rules[rule_count];
        int used = 0;
        if (sscanf(text, " %15[a-z]:%d:%d:%ld:%ld%n", rule->call, &rule->error, &rule->percent, &rule->from_ms,
                   &rule->to_ms, &used) < 5)
            break;
        rule_count++;
        text += used;
    }
}

/* Returns a pseudo-random number in [0, below). It is a xorshift generator, so a seed reproduces its faults. */
static unsigned draw_below(unsigned below) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (unsigned)(random_state >> 11) % below;
}

/* Returns the errno with which the call must fail now, 0 for no fault, or -1 for a matching rule without an errno. */
static int injected_error(const char *call) {
    struct timespec now;
    if (!rule_count)
        return 0;
    real_clock(CLOCK_MONOTONIC, &now);
    long ms = (now.tv_sec - started_at.tv_sec) * 1000 + (now.tv_nsec - started_at.tv_nsec) / 1000000;
    for (int i = 0; i < rule_count; i++) {
        struct fault_rule *rule = &rules[i];
        if (ms >= rule->from_ms && ms < rule->to_ms && !strcmp(rule->call, call) &&
            draw_below(100) < (unsigned)rule->percent)
            return rule->error ? rule->error : -1;
    }
    return 0;
}

/* Returns -1 from the calling function, with errno set, if the call must fail now. */
#define FAIL_IF_INJECTED(call)                                                                                    \
    do {                                                                                                          \
        int error = injected_error(call);                                                                         \
        if (error > 0) {                                                                                          \
            errno = error;                                                                                        \
            return -1;                                                                                            \
        }                                                                                                         \
    } while (0)

int socket(int domain, int type, int protocol) {
    DECLARE_REAL(int, "socket", int, int, int);
    FAIL_IF_INJECTED("socket");
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t size) {
    DECLARE_REAL(int, "connect", int, const struct sockaddr *, socklen_t);
    FAIL_IF_INJECTED("connect");
    return real(fd, to, size);
}

int accept(int fd, struct sockaddr *from, socklen_t *size) {
    DECLARE_REAL(int, "accept", int, struct sockaddr *, socklen_t *);
    FAIL_IF_INJECTED("accept");
    return real(fd, from, size);
}

int accept4(int fd, struct sockaddr *from, socklen_t *size, int flags) {
    DECLARE_REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
    FAIL_IF_INJECTED("accept");
    return real(fd, from, size, flags);
}

/* Returns whether a path is the proxy's configuration file, the only file whose open may fail. */
static int is_config(const char *path) {
    const char *config = getenv("LB_CONFIG");
    return config && path && !strcmp(path, config);
}

#define DEFINE_OPEN(name)                                                                                         \
    int name(const char *path, int flags, ...) {                                                                  \
        DECLARE_REAL(int, #name, const char *, int, ...);                                                         \
        va_list arguments;                                                                                        \
        va_start(arguments, flags);                                                                               \
        mode_t mode = va_arg(arguments, mode_t);                                                                  \
        va_end(arguments);                                                                                        \
        if (is_config(path))                                                                                      \
            FAIL_IF_INJECTED("open");                                                                             \
        return real(path, flags, mode);                                                                           \
    }
DEFINE_OPEN(open)
DEFINE_OPEN(open64)

static int is_socket(int fd) {
    struct stat status;
    return fd > 2 && !fstat(fd, &status) && S_ISSOCK(status.st_mode);
}

/* Returns the number of bytes that a transfer may move now: `size`, or fewer if a `short` rule applies. */
static size_t shortened_size(int fd, size_t size) {
    if (size < MIN_SHORTENED || !rule_count || !is_socket(fd) || !injected_error("short"))
        return size;
    return 1 + draw_below((unsigned)(size - 1));
}

ssize_t write(int fd, const void *data, size_t size) {
    DECLARE_REAL(ssize_t, "write", int, const void *, size_t);
    if (fd == 2)
        FAIL_IF_INJECTED("log");
    return real(fd, data, shortened_size(fd, size));
}

/* A shortened call writes at most about half of the first part. */
ssize_t writev(int fd, const struct iovec *parts, int count) {
    DECLARE_REAL(ssize_t, "writev", int, const struct iovec *, int);
    if (count > 0 && shortened_size(fd, parts[0].iov_len) < parts[0].iov_len)
        return write(fd, parts[0].iov_base, 1 + parts[0].iov_len / 2);
    return real(fd, parts, count);
}

ssize_t read(int fd, void *data, size_t size) {
    DECLARE_REAL(ssize_t, "read", int, void *, size_t);
    size_t limit = size > 200 ? 200 : size; /* in bytes; buffers are far larger than the data that arrives */
    return real(fd, data, shortened_size(fd, size) < size ? 1 + draw_below((unsigned)limit) : size);
}

int epoll_wait(int fd, struct epoll_event *events, int capacity, int timeout) {
    DECLARE_REAL(int, "epoll_wait", int, struct epoll_event *, int, int);
    FAIL_IF_INJECTED("wait");
    return real(fd, events, capacity, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int capacity, int timeout, const sigset_t *mask) {
    DECLARE_REAL(int, "epoll_pwait", int, struct epoll_event *, int, int, const sigset_t *);
    FAIL_IF_INJECTED("wait");
    return real(fd, events, capacity, timeout, mask);
}

int clock_gettime(clockid_t id, struct timespec *at) {
    int result = real_clock(id, at);
    if (!result && id == CLOCK_REALTIME)
        at->tv_sec += clock_offset_ms / 1000;
    return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
    DECLARE_REAL(int, "gettimeofday", struct timeval *, void *);
    int result = real(at, zone);
    if (!result)
        at->tv_sec += clock_offset_ms / 1000;
    return result;
}

time_t time(time_t *at) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at)
        *at = now.tv_sec;
    return now.tv_sec;
}
