/*
 * Loaded into a router by LD_PRELOAD: makes chosen system calls on sockets fail, shortens reads and writes,
 * and steps the wall clock. A control file, which the test maps and writes, states what fails
 * (SystemCallFaults.java has the same layout); nothing here is random.
 *
 * Control file, 32-bit words in native order: for each call in the order below
 *   0 every      one call in so many is affected; 0 for none
 *   1 error      errno of the failure; 0 shortens the transfer to one byte (read and write only)
 *   2 port       0 for any socket, n for peers at port n, -n for sockets bound to port n
 *   3 seen       calls that matched, counted here
 *   4 affected   calls that failed or were shortened, counted here
 * followed by a 64-bit offset of the wall clock in milliseconds.
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

enum call { ACCEPT, SOCKET, CONNECT, READ, WRITE, WAIT, CALLS };

struct fault {
    volatile int32_t every, error, port;
    int32_t seen, affected;
};

struct control {
    struct fault faults[CALLS];
    volatile int64_t wall_offset_millis;
};

static struct control none;
static struct control *control = &none;

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

static int port_of(int fd, int (*name)(int, struct sockaddr *, socklen_t *)) {
    struct sockaddr_in6 address = {0};
    socklen_t length = sizeof address;
    if (name(fd, (struct sockaddr *) &address, &length) != 0) {
        return -1;
    }
    return ntohs(address.sin6_port); /* at the same place as in sockaddr_in */
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int has_port(int fd, int32_t port) {
    return port == 0 || (port > 0 ? port_of(fd, getpeername) == port : port_of(fd, getsockname) == -port);
}

/* Whether this call is affected; counts the calls that match. */
static int is_affected(enum call call, int fd) {
    struct fault *fault = &control->faults[call];
    int32_t every = fault->every;
    if (every <= 0 || (fd >= 0 && (!is_socket(fd) || !has_port(fd, fault->port)))) {
        return 0;
    }
    if (__atomic_add_fetch(&fault->seen, 1, __ATOMIC_RELAXED) % every != 0) {
        return 0;
    }
    __atomic_add_fetch(&fault->affected, 1, __ATOMIC_RELAXED);
    return 1;
}

/* Whether this call fails; sets errno. */
static int fails(enum call call, int fd) {
    int error = control->faults[call].error;
    if (error == 0 || !is_affected(call, fd)) {
        return 0;
    }
    errno = error;
    return 1;
}

/* Whether this transfer is shortened to one byte. */
static int is_shortened(enum call call, int fd) {
    return control->faults[call].error == 0 && is_affected(call, fd);
}

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
    int64_t offset = control->wall_offset_millis;
    if (result == 0 && clock == CLOCK_REALTIME && offset != 0) {
        int64_t millis = (int64_t) time->tv_sec * 1000 + time->tv_nsec / 1000000 + offset;
        time->tv_sec = millis / 1000;
        time->tv_nsec = millis % 1000 * 1000000 + time->tv_nsec % 1000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    int result = REAL(gettimeofday)(time, zone);
    int64_t offset = control->wall_offset_millis;
    if (result == 0 && offset != 0) {
        int64_t millis = (int64_t) time->tv_sec * 1000 + time->tv_usec / 1000 + offset;
        time->tv_usec = millis % 1000 * 1000 + time->tv_usec % 1000;
        time->tv_sec = millis / 1000;
    }
    return result;
}
