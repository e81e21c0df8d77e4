#pragma once

#include <gtest/gtest.h>

#define GOOSEBERRYSAIL_JOIN_(left, right) left##right
#define GOOSEBERRYSAIL_JOIN(left, right) GOOSEBERRYSAIL_JOIN_(left, right)

/// \brief Opens a named, nestable part of a test's story; a failure prints the open parts.
/// \remarks Each part's trace has its own name, since nested parts would shadow one another.
/// \code
/// SECTION("the leader dies") { SECTION("before it answered") { EXPECT_TRUE(...); } }
/// \endcode
#define SECTION(story)                                                                             \
  if (const ::testing::ScopedTrace GOOSEBERRYSAIL_JOIN(sectionTrace,                               \
                                                       __LINE__)(__FILE__, __LINE__, story);       \
      true)
