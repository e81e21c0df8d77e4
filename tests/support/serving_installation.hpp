#pragma once

#include "soak/replica.hpp"
#include "support/platform_installation.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrysail::test {

inline constexpr const char* kServingConfig =
  R"({"version":1,"routes":[{"name":"r1","host":"hire.example","pathPrefix":"/a/","kind":"safe",)"
  R"("timeoutMs":3000,"service":"desk","maxAttempts":2}],)"
  R"("services":[{"name":"desk","healthPath":"/health"}],)"
  R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"]}]})";

/// \brief An installation with three replicas that serves.
class ServingInstallation
{
public:
  explicit ServingInstallation(const std::string& config = kServingConfig,
                               const ExtraSettings& extra = {})
    : site(extra)
  {
    EXPECT_EQ(site.Put(config), 200U);
    for (const char* name : { "a", "b", "c" }) {
      replicas.push_back(std::make_unique<soak::Replica>(
        name, std::vector<std::string>{ site.controlHttp }, ledger, replicas.size()));
    }
  }

  HttpReply Ask(const std::string& body)
  {
    const std::string id = "r-" + std::to_string(++m_asked);
    ledger.OnRequestSent(id, true);
    const HttpReply reply = site.CallEntry("/a/x", "key-of-t1", id, body);
    ledger.OnReply(id, reply.status, soak::IsAnswerTo(id, reply));
    return reply;
  }

  /// \brief How many requests all replicas have run.
  [[nodiscard]] std::uint64_t Runs() const
  {
    std::uint64_t runs = 0;
    for (const auto& replica : replicas) {
      runs += replica->Runs();
    }
    return runs;
  }

  void WaitUntilServed()
  {
    EXPECT_TRUE(
      WaitUntil([&] { return Ask("sound").status == 200; }, PlatformInstallation::kTimeout));
  }

  PlatformInstallation site;
  soak::Ledger ledger;
  std::vector<std::unique_ptr<soak::Replica>> replicas;

private:
  int m_asked = 0;
};

} // namespace gooseberrysail::test
