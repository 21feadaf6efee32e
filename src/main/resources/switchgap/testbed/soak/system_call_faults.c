/*
 * A library for LD_PRELOAD that makes selected system calls on sockets fail, shortens reads and writes,
 * and steps the wall clock. The test maps a control file into memory and writes the faults to it;
 * SystemCallFaults.java must have the same layout. The faults are deterministic.
 *
 * The control file has five 32-bit words in native byte order for each call, in the order of enum call:
 *   0 calls_per_failure  one in this many matching calls is affected; 0 affects none
 *   1 error              errno of the failure; 0 shortens the transfer to one byte (only read and write)
 *   2 port               0 matches any socket, n sockets with peer port n, -n sockets bound to port n
 *   3 matched_calls      number of matching calls, counted by this library
 *   4 affected_calls     number of calls that failed or were shortened, counted by this library
 * A 64-bit offset of the wall clock in milliseconds follows.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, READ, WRITE, WAIT, CALL_COUNT };

struct fault {
    volatile int32_t calls_per_failure, error, port;
    int32_t matched_calls, affected_calls;
};

struct control {
    struct fault faults[CALL_COUNT];
    volatile int64_t wall_clock_offset_millis;
};

static struct control no_faults;
static struct control *control = &no_faults;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("SYSTEM_CALL_FAULTS");
    int file = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (file < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED) {
        control = mapped;
    }
    close(file);
}

/* Returns the port of an address that getpeername or getsockname returns; -1 on failure. */
static int port_of(int fd, int (*get_address)(int, struct sockaddr *, socklen_t *)) {
    struct sockaddr_in6 address = {0};
    socklen_t length = sizeof address;
    if (get_address(fd, (struct sockaddr *) &address, &length) != 0) {
        return -1;
    }
    /* The port of sockaddr_in is at the same offset. */
    return ntohs(address.sin6_port);
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int has_port(int fd, int32_t port) {
    return port == 0 || (port > 0 ? port_of(fd, getpeername) == port : port_of(fd, getsockname) == -port);
}

/* Returns whether this call is affected; counts the matching calls. */
static int is_affected(enum call call, int fd) {
    struct fault *fault = &control->faults[call];
    int32_t calls_per_failure = fault->calls_per_failure;
    if (calls_per_failure <= 0 || (fd >= 0 && (!is_socket(fd) || !has_port(fd, fault->port)))) {
        return 0;
    }
    if (__atomic_add_fetch(&fault->matched_calls, 1, __ATOMIC_RELAXED) % calls_per_failure != 0) {
        return 0;
    }
    __atomic_add_fetch(&fault->affected_calls, 1, __ATOMIC_RELAXED);
    return 1;
}

/* Returns whether this call fails, and sets errno if it does. */
static int fails(enum call call, int fd) {
    int error = control->faults[call].error;
    if (error == 0 || !is_affected(call, fd)) {
        return 0;
    }
    errno = error;
    return 1;
}

/* Returns whether this transfer is shortened to one byte. */
static int is_shortened(enum call call, int fd) {
    return control->faults[call].error == 0 && is_affected(call, fd);
}

/* The C library's function of this name. */
#define REAL(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    return fails(ACCEPT, fd) ? -1 : REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    return fails(ACCEPT, fd) ? -1 : REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    return fails(SOCKET, -1) ? -1 : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    return fails(CONNECT, -1) ? -1 : REAL(connect)(fd, address, length);
}

ssize_t read(int fd, void *buffer, size_t count) {
    static __typeof__(&read) real;
    real = real ? real : REAL(read);
    if (fails(READ, fd)) {
        return -1;
    }
    return real(fd, buffer, count > 1 && is_shortened(READ, fd) ? 1 : count);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    static __typeof__(&write) real;
    real = real ? real : REAL(write);
    if (fails(WRITE, fd)) {
        return -1;
    }
    return real(fd, buffer, count > 1 && is_shortened(WRITE, fd) ? 1 : count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    if (fails(WRITE, fd)) {
        return -1;
    }
    if (count > 0 && parts[0].iov_len > 1 && is_shortened(WRITE, fd)) {
        return REAL(write)(fd, parts[0].iov_base, 1);
    }
    return REAL(writev)(fd, parts, count);
}

int epoll_wait(int epoll, struct epoll_event *events, int size, int timeout) {
    static __typeof__(&epoll_wait) real;
    real = real ? real : REAL(epoll_wait);
    return fails(WAIT, -1) ? -1 : real(epoll, events, size, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    static __typeof__(&clock_gettime) real;
    real = real ? real : REAL(clock_gettime);
    int result = real(clock, time);
    int64_t offset = control->wall_clock_offset_millis;
    if (result == 0 && clock == CLOCK_REALTIME && offset != 0) {
        int64_t millis = (int64_t) time->tv_sec * 1000 + time->tv_nsec / 1000000 + offset;
        time->tv_sec = millis / 1000;
        time->tv_nsec = millis % 1000 * 1000000 + time->tv_nsec % 1000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    int result = REAL(gettimeofday)(time, zone);
    int64_t offset = control->wall_clock_offset_millis;
    if (result == 0 && offset != 0) {
        int64_t millis = (int64_t) time->tv_sec * 1000 + time->tv_usec / 1000 + offset;
        time->tv_usec = millis % 1000 * 1000 + time->tv_usec % 1000;
        time->tv_sec = millis / 1000;
    }
    return result;
}
