#pragma once

#include <gtest/gtest.h>

#define GOOSEBERRYSAIL_JOIN_IMPL(a, b) a##b
#define GOOSEBERRYSAIL_JOIN(a, b) GOOSEBERRYSAIL_JOIN_IMPL(a, b)

/// \brief Opens a named, nestable part of a test's story; a failure prints the open parts.
/// \code
/// SECTION("the leader dies") { SECTION("before it answered") { EXPECT_TRUE(...); } }
/// \endcode
#define SECTION(story)                                                                             \
  if (const ::testing::ScopedTrace GOOSEBERRYSAIL_JOIN(sectionTrace,                               \
                                                       __LINE__)(__FILE__, __LINE__, story);       \
      true)
