/*
 * Fault injection for one process: makes system calls fail as Linux documents that they may, and shifts the wall clock.
 * Loaded with LD_PRELOAD into processes that a test starts. The fault rates and the clock offset are in a file that the
 * test maps and changes while the process runs (FAULTSHIM_CONTROL). Events that the test needs are appended to
 * FAULTSHIM_LOG, one line each:
 *   MICROSECONDS END PORT BYTES    the process closed an accepted connection with that many bytes unanswered
 *   MICROSECONDS BROKE PORT 0      this library broke a connection
 * PORT is the peer's. Times are on the monotonic clock, which is never changed. Rates are calls per million.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_FDS 4096
#define MILLION 1000000
#define MAX_DELAY_US 120000

struct control {
    volatile int64_t clock_offset_ns;
    volatile int32_t read_interrupted;
    volatile int32_t accept_fails;
    volatile int32_t connect_fails;
    volatile int32_t socket_fails;
    volatile int32_t short_read;
    volatile int32_t short_write;
    volatile int32_t poll_interrupted;
    volatile int32_t connection_breaks;
    volatile int32_t delayed_io;
    volatile int32_t file_read_fails;
    volatile int32_t injected[10]; /* how often each of the faults above was injected, in this order */
};

enum kind { UNKNOWN, ACCEPTED, CONNECTED, FILE_READ };

struct descriptor {
    volatile int kind;
    volatile int port;
    volatile int unanswered;
    volatile int ended;
    volatile int broken;
};

static struct control default_control;
static struct control *control = &default_control;
static struct descriptor descriptors[MAX_FDS];
static int log_fd = -1;
static uint64_t seed = 1;
static volatile uint64_t draws;

static ssize_t (*real_read)(int, void *, size_t);
static ssize_t (*real_write)(int, const void *, size_t);
static ssize_t (*real_readv)(int, const struct iovec *, int);
static ssize_t (*real_writev)(int, const struct iovec *, int);
static int (*real_accept)(int, struct sockaddr *, socklen_t *);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static int (*real_socket)(int, int, int);
static int (*real_poll)(struct pollfd *, nfds_t, int);
static int (*real_shutdown)(int, int);
static int (*real_close)(int);
static int (*real_dup2)(int, int);
static int (*real_clock_gettime)(clockid_t, struct timespec *);

static uint64_t next_random(void) {
    uint64_t z = seed + __atomic_add_fetch(&draws, 1, __ATOMIC_RELAXED) * 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

static int draw_fault(volatile int32_t *rate) {
    if (*rate <= 0 || (int32_t) (next_random() % MILLION) >= *rate) {
        return 0;
    }
    __atomic_add_fetch(&control->injected[rate - &control->read_interrupted], 1, __ATOMIC_RELAXED);
    return 1;
}

static void resolve_symbols(void) {
    if (real_close != NULL) {
        return;
    }
    real_read = dlsym(RTLD_NEXT, "read");
    real_write = dlsym(RTLD_NEXT, "write");
    real_readv = dlsym(RTLD_NEXT, "readv");
    real_writev = dlsym(RTLD_NEXT, "writev");
    real_accept = dlsym(RTLD_NEXT, "accept");
    real_connect = dlsym(RTLD_NEXT, "connect");
    real_socket = dlsym(RTLD_NEXT, "socket");
    real_poll = dlsym(RTLD_NEXT, "poll");
    real_shutdown = dlsym(RTLD_NEXT, "shutdown");
    real_dup2 = dlsym(RTLD_NEXT, "dup2");
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_close = dlsym(RTLD_NEXT, "close");
}

__attribute__((constructor)) static void start(void) {
    resolve_symbols();
    const char *path = getenv("FAULTSHIM_CONTROL");
    const char *log = getenv("FAULTSHIM_LOG");
    const char *seed_text = getenv("FAULTSHIM_SEED");
    seed = seed_text == NULL ? 1 : strtoull(seed_text, NULL, 10);
    if (log != NULL) {
        log_fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    }
    if (path != NULL) {
        int fd = open(path, O_RDWR | O_CLOEXEC);
        if (fd >= 0) {
            void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
            if (mapped != MAP_FAILED) {
                control = mapped;
            }
            real_close(fd);
        }
    }
}

static void log_event(const char *event, int port, int bytes) {
    if (log_fd < 0) {
        return;
    }
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    char line[96];
    int n = snprintf(line, sizeof line, "%lld %s %d %d\n",
                     (long long) now.tv_sec * MILLION + now.tv_nsec / 1000, event, port, bytes);
    real_write(log_fd, line, n);
}

static struct descriptor *tracked(int fd) {
    return fd >= 0 && fd < MAX_FDS && descriptors[fd].kind != UNKNOWN ? &descriptors[fd] : NULL;
}

static void track(int fd, int kind, int port) {
    if (fd >= 0 && fd < MAX_FDS) {
        memset((void *) &descriptors[fd], 0, sizeof descriptors[fd]);
        descriptors[fd].port = port;
        descriptors[fd].kind = kind;
    }
}

static void log_connection_end(int fd) {
    struct descriptor *d = tracked(fd);
    if (d != NULL && d->kind == ACCEPTED && !d->ended) {
        d->ended = 1;
        log_event("END", d->port, d->unanswered);
    }
}

__attribute__((destructor)) static void stop(void) {
    for (int fd = 0; fd < MAX_FDS; fd++) {
        log_connection_end(fd);
    }
}

static void maybe_delay(void) {
    if (draw_fault(&control->delayed_io)) {
        usleep(next_random() % MAX_DELAY_US);
    }
}

static int fail_with(int count, const int *errors) {
    errno = errors[next_random() % count];
    return -1;
}

/* Returns 1 if the call must fail, with errno set. */
static int inject_read_fault(struct descriptor *d, int fd) {
    static const int broken[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    if (d->broken) {
        errno = ETIMEDOUT;
        return 1;
    }
    if (draw_fault(&control->read_interrupted)) {
        errno = EINTR;
        return 1;
    }
    if (draw_fault(&control->connection_breaks)) {
        d->broken = 1;
        log_event("BROKE", d->port, 0);
        real_shutdown(fd, SHUT_RDWR);
        fail_with(3, broken);
        return 1;
    }
    return 0;
}

static void count_unanswered(struct descriptor *d, ssize_t n) {
    if (n > 0) {
        __atomic_add_fetch(&d->unanswered, (int) n, __ATOMIC_RELAXED);
    }
}

ssize_t read(int fd, void *buffer, size_t length) {
    resolve_symbols();
    struct descriptor *d = tracked(fd);
    if (d == NULL) {
        return real_read(fd, buffer, length);
    }
    if (d->kind == FILE_READ) {
        if (draw_fault(&control->file_read_fails)) {
            errno = EIO;
            return -1;
        }
        return real_read(fd, buffer, length);
    }
    if (inject_read_fault(d, fd)) {
        return -1;
    }
    size_t limit = length > 1 && draw_fault(&control->short_read) ? 1 + next_random() % (length - 1) : length;
    ssize_t n = real_read(fd, buffer, limit);
    count_unanswered(d, n);
    maybe_delay();
    return n;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    static ssize_t (*real_recv)(int, void *, size_t, int);
    if (real_recv == NULL) {
        real_recv = dlsym(RTLD_NEXT, "recv");
    }
    resolve_symbols();
    struct descriptor *d = tracked(fd);
    if (d != NULL && d->kind != FILE_READ && inject_read_fault(d, fd)) {
        return -1;
    }
    ssize_t n = real_recv(fd, buffer, length, flags);
    if (d != NULL && !(flags & MSG_PEEK)) {
        count_unanswered(d, n);
    }
    return n;
}

ssize_t readv(int fd, const struct iovec *vectors, int count) {
    resolve_symbols();
    struct descriptor *d = tracked(fd);
    if (d != NULL && d->kind != FILE_READ && inject_read_fault(d, fd)) {
        return -1;
    }
    ssize_t n = real_readv(fd, vectors, count);
    if (d != NULL) {
        count_unanswered(d, n);
    }
    return n;
}

static int inject_write_fault(struct descriptor *d) {
    if (d->broken) {
        errno = EPIPE;
        return 1;
    }
    maybe_delay();
    return 0;
}

ssize_t write(int fd, const void *from, size_t length) {
    resolve_symbols();
    struct descriptor *d = tracked(fd);
    if (d == NULL || d->kind == FILE_READ) {
        return real_write(fd, from, length);
    }
    if (inject_write_fault(d)) {
        return -1;
    }
    size_t limit = length > 1 && draw_fault(&control->short_write) ? 1 + next_random() % (length - 1) : length;
    ssize_t n = real_write(fd, from, limit);
    if (n > 0) {
        d->unanswered = 0;
    }
    return n;
}

ssize_t writev(int fd, const struct iovec *vectors, int count) {
    resolve_symbols();
    struct descriptor *d = tracked(fd);
    if (d == NULL || d->kind == FILE_READ) {
        return real_writev(fd, vectors, count);
    }
    if (inject_write_fault(d)) {
        return -1;
    }
    int limit = count > 1 && draw_fault(&control->short_write) ? 1 : count;
    ssize_t n = real_writev(fd, vectors, limit);
    if (n > 0) {
        d->unanswered = 0;
    }
    return n;
}

static int port_of(const struct sockaddr *address) {
    if (address->sa_family == AF_INET) {
        return ntohs(((const struct sockaddr_in *) address)->sin_port);
    }
    return address->sa_family == AF_INET6 ? ntohs(((const struct sockaddr_in6 *) address)->sin6_port) : 0;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    static const int errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, ENETUNREACH, EHOSTUNREACH, EINTR};
    resolve_symbols();
    if (draw_fault(&control->accept_fails)) {
        return fail_with(8, errors);
    }
    int accepted = real_accept(fd, address, length);
    if (accepted >= 0) {
        struct sockaddr_storage peer;
        socklen_t size = sizeof peer;
        int port = getpeername(accepted, (struct sockaddr *) &peer, &size) == 0
                       ? port_of((struct sockaddr *) &peer) : 0;
        track(accepted, ACCEPTED, port);
    }
    return accepted;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ECONNREFUSED};
    resolve_symbols();
    if (address->sa_family != AF_INET && address->sa_family != AF_INET6) {
        return real_connect(fd, address, length);
    }
    if (draw_fault(&control->connect_fails)) {
        return fail_with(4, errors);
    }
    track(fd, CONNECTED, port_of(address));
    return real_connect(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
    resolve_symbols();
    if ((domain == AF_INET || domain == AF_INET6) && draw_fault(&control->socket_fails)) {
        return fail_with(4, errors);
    }
    return real_socket(domain, type, protocol);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    resolve_symbols();
    if (draw_fault(&control->poll_interrupted)) {
        errno = EINTR;
        return -1;
    }
    return real_poll(fds, count, timeout);
}

int shutdown(int fd, int how) {
    resolve_symbols();
    if (how != SHUT_RD) {
        log_connection_end(fd);
    }
    return real_shutdown(fd, how);
}

static void untrack(int fd) {
    if (tracked(fd) != NULL) {
        log_connection_end(fd);
        descriptors[fd].kind = UNKNOWN;
    }
}

int close(int fd) {
    resolve_symbols();
    untrack(fd);
    return real_close(fd);
}

int dup2(int from, int to) {
    resolve_symbols();
    untrack(to);
    return real_dup2(from, to);
}

static void track_json_file(int fd, const char *path) {
    size_t length = strlen(path);
    if (length > 5 && strcmp(path + length - 5, ".json") == 0) {
        track(fd, FILE_READ, 0);
    }
}

int open64(const char *path, int flags, ...) {
    static int (*real_open64)(const char *, int, ...);
    if (real_open64 == NULL) {
        real_open64 = dlsym(RTLD_NEXT, "open64");
    }
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    int fd = real_open64(path, flags, mode);
    if (fd >= 0) {
        track_json_file(fd, path);
    }
    return fd;
}

static int64_t clock_offset(clockid_t clock) {
    return clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE ? control->clock_offset_ns : 0;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    resolve_symbols();
    int result = real_clock_gettime(clock, now);
    int64_t offset = clock_offset(clock);
    if (result == 0 && offset != 0) {
        int64_t total_ns = (int64_t) now->tv_sec * 1000000000LL + now->tv_nsec + offset;
        now->tv_sec = total_ns / 1000000000LL;
        now->tv_nsec = total_ns % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *now, void *zone) {
    (void) zone;
    struct timespec time;
    int result = clock_gettime(CLOCK_REALTIME, &time);
    now->tv_sec = time.tv_sec;
    now->tv_usec = time.tv_nsec / 1000;
    return result;
}
