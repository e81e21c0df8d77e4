#pragma once

#include <gtest/gtest.h>

#define GOOSEBERRYSAIL_JOIN_(left, right) left##right
#define GOOSEBERRYSAIL_JOIN(left, right) GOOSEBERRYSAIL_JOIN_(left, right)

/// \brief Opens a named section of a test; a failure prints the names of the enclosing sections.
/// \remarks Each trace object has a unique name, as nested sections would otherwise shadow it.
/// \code
/// SECTION("the leader fails") { SECTION("before it answered") { EXPECT_TRUE(...); } }
/// \endcode
#define SECTION(description)                                                                       \
  if (const ::testing::ScopedTrace GOOSEBERRYSAIL_JOIN(sectionTrace,                               \
                                                       __LINE__)(__FILE__, __LINE__, description); \
      true)
