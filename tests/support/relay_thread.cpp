#include "support/relay_thread.hpp"

#include <boost/asio/post.hpp>
#include <future>

namespace gooseberrysail::test {

RelayThread::RelayThread(const std::string& target)
{
  std::promise<std::string> address;
  std::future<std::string> started = address.get_future();
  m_thread = std::thread([this, target, &address] {
    Serve(target, [&](std::string own) { address.set_value(std::move(own)); });
  });
  m_address = started.get();
}

RelayThread::~RelayThread()
{
  boost::asio::post(m_runtime->Io(), [this] { m_runtime->Stop(); });
  m_thread.join();
}

void RelayThread::BlackholeExisting()
{
  RunOnThread([](fakes::Relay& relay) { relay.BlackholeExisting(fakes::Relay::Direction::kBoth); });
}

void RelayThread::ResetExisting()
{
  RunOnThread([](fakes::Relay& relay) { relay.ResetExisting(); });
}

void RelayThread::SetDelay(Duration delay)
{
  RunOnThread([delay](fakes::Relay& relay) { relay.SetDelay(delay); });
}

void RelayThread::RunOnThread(const std::function<void(fakes::Relay&)>& step)
{
  std::promise<void> done;
  boost::asio::post(m_runtime->Io(), [&] {
    step(*m_relay);
    done.set_value();
  });
  done.get_future().wait();
}

void RelayThread::Serve(const std::string& target, const std::function<void(std::string)>& started)
{
  IoRuntime runtime;
  fakes::Relay relay(runtime, target);
  m_runtime = &runtime;
  m_relay = &relay;
  const Result<void> listening = relay.Start();
  started(listening ? relay.ListenAddress() : "");
  runtime.Run();
  relay.Close();
}

} // namespace gooseberrysail::test
