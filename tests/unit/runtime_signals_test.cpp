#include "gooseberrysail/net/fiber_runtime.hpp"
#include "support/section.hpp"

#include <csignal>
#include <gmock/gmock.h>
#include <pthread.h>
#include <vector>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

/// \brief Restores the signals that were blocked before, and takes those that a runtime has kept:
/// they would end the process.
class SignalMask
{
public:
  SignalMask() { pthread_sigmask(SIG_BLOCK, nullptr, &m_former); }
  ~SignalMask()
  {
    sigset_t kept;
    sigemptyset(&kept);
    for (const int number : { SIGHUP, SIGTERM, SIGINT }) {
      sigaddset(&kept, number);
    }
    pthread_sigmask(SIG_BLOCK, &kept, nullptr);
    constexpr timespec kNoWait{};
    while (sigtimedwait(&kept, nullptr, &kNoWait) > 0) {
    }
    pthread_sigmask(SIG_SETMASK, &m_former, nullptr);
  }
  SignalMask(const SignalMask&) = delete;
  SignalMask& operator=(const SignalMask&) = delete;

private:
  sigset_t m_former{};
};

// Guards against a signal whose hook is called when what it refers to is gone.
TEST(RuntimeSignals, CallNoHookOnceTheRuntimeHasStopped)
{
  const SignalMask mask;
  int calls = 0;
  IoRuntime runtime;
  runtime.OnSignals({ SIGHUP }, [&](int) { ++calls; });
  std::raise(SIGHUP);
  runtime.SleepFor(10ms);
  EXPECT_EQ(calls, 1);
  std::raise(SIGHUP);
  runtime.Stop();
  runtime.SleepFor(10ms);
  std::raise(SIGHUP);
  runtime.Join();
  EXPECT_EQ(calls, 1);
}

// Guards against a process that a signal ends, or that loses it, between two runs of its role.
TEST(RuntimeSignals, AreKeptForTheNextRuntime)
{
  const SignalMask mask;
  int calls = 0;
  const auto run = [&] {
    IoRuntime runtime;
    runtime.OnSignals({ SIGHUP, SIGTERM }, [&](int) { ++calls; });
    runtime.SleepFor(10ms);
    runtime.Stop();
    runtime.Join();
  };
  run();
  EXPECT_EQ(calls, 0);
  SECTION("received while none runs")
  {
    std::raise(SIGTERM);
    run();
    EXPECT_EQ(calls, 1);
  }
  SECTION("received when the last one had stopped")
  {
    {
      IoRuntime runtime;
      runtime.OnSignals({ SIGHUP, SIGTERM }, [&](int) { ++calls; });
      runtime.SleepFor(10ms);
      runtime.Stop();
      std::raise(SIGTERM);
    }
    run();
    EXPECT_EQ(calls, 2);
  }
  SECTION("received after others, when the last one had stopped")
  {
    int stops = 0;
    const auto count = [&](int number) { stops += number == SIGTERM ? 1 : 0; };
    {
      IoRuntime runtime;
      runtime.OnSignals({ SIGHUP, SIGTERM }, count);
      runtime.SleepFor(10ms);
      runtime.Stop();
      for (int reload = 0; reload < 5; ++reload) {
        std::raise(SIGHUP);
      }
      std::raise(SIGTERM);
    }
    IoRuntime runtime;
    runtime.OnSignals({ SIGHUP, SIGTERM }, count);
    runtime.SleepFor(10ms);
    EXPECT_EQ(stops, 1);
  }
}

// Guards against a signal to stop that is lost because another one came just before it.
TEST(RuntimeSignals, AreAllKeptWhereSeveralAreLate)
{
  const SignalMask mask;
  std::vector<int> received;
  const auto run = [&](const std::vector<int>& late) {
    IoRuntime runtime;
    runtime.OnSignals({ SIGHUP, SIGTERM, SIGINT }, [&](int number) { received.push_back(number); });
    runtime.SleepFor(10ms);
    runtime.Stop();
    for (const int number : late) {
      std::raise(number);
    }
  };
  run({ SIGHUP, SIGTERM, SIGINT });
  EXPECT_THAT(received, ::testing::IsEmpty());
  run({});
  EXPECT_THAT(received, ::testing::UnorderedElementsAre(SIGHUP, SIGTERM, SIGINT));
}

// Guards against a runtime that is destroyed while a fiber still uses what surrounds it.
TEST(RuntimeSignals, JoinWaitsForAllFibers)
{
  bool isEnded = false;
  IoRuntime runtime;
  runtime.Spawn([&] {
    runtime.SleepFor(20ms);
    isEnded = true;
  });
  runtime.Join();
  EXPECT_TRUE(isEnded);
}

} // namespace
} // namespace gooseberrysail
