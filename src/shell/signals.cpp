#include "gooseberrysail/shell/daemon.hpp"

#include <csignal>
#include <pthread.h>

namespace gooseberrysail {

void PrepareSignals() noexcept
{
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t handled;
  sigemptyset(&handled);
  sigaddset(&handled, SIGHUP);
  sigaddset(&handled, SIGTERM);
  sigaddset(&handled, SIGINT);
  pthread_sigmask(SIG_BLOCK, &handled, nullptr);
}

} // namespace gooseberrysail
