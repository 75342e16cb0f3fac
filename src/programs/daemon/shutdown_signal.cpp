#include "programs/daemon/shutdown_signal.h"

#include <csignal>

#include <pthread.h>

namespace citronseam::shutdown_signal {
namespace {

sigset_t handled_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

void block() {
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

event wait() {
    const sigset_t signals = handled_signals();
    int received = 0;
    sigwait(&signals, &received);
    return received == SIGHUP ? event::reload : event::shut_down;
}

} // namespace citronseam::shutdown_signal
