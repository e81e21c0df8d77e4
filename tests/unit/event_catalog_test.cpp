#include "gooseberrysail/observe/event_catalog.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

TEST(EventCatalog, NumbersAreSortedAndEachEventIsFound)
{
  std::uint32_t previous = 0;
  for (const EventInfo& event : AllEvents()) {
    SECTION(std::string(event.name))
    {
      EXPECT_GT(event.number, previous);
      ASSERT_NE(FindEvent(event.number), nullptr);
      EXPECT_EQ(FindEvent(event.number)->name, event.name);
    }
    previous = event.number;
  }
  EXPECT_EQ(FindEvent(99), nullptr);
}

} // namespace
} // namespace gooseberrysail
