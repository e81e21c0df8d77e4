// Included first, to check that the umbrella header is self-contained.
#include "gooseberrysail/gooseberrysail.hpp"

#include <gtest/gtest.h>
#include <type_traits>

namespace gooseberrysail {
namespace {

TEST(UmbrellaHeader, MakesEveryDeclaredTypeComplete)
{
  EXPECT_TRUE(std::is_class_v<EntryRole> && std::is_class_v<AgentRole> &&
              std::is_class_v<ControlRole>);
  EXPECT_GT(sizeof(Error) + sizeof(Catalogue) + sizeof(CatalogueEntry), 0U);
  EXPECT_GT(sizeof(Router) + sizeof(Admission) + sizeof(PlacementPlanner), 0U);
  EXPECT_GT(sizeof(RaftNode) + sizeof(ControlStore), 0U);
  EXPECT_GT(sizeof(IoRuntime) + sizeof(PeerMesh) + sizeof(HttpServer) + sizeof(HttpClient), 0U);
  EXPECT_GT(sizeof(ProcessSettings), 0U);
}

} // namespace
} // namespace gooseberrysail
