#pragma once

#include <gtest/gtest.h>

/// \brief Opens a named, nestable part of a test's story; a failure prints the open parts.
/// \code
/// SECTION("the leader dies") { SECTION("before it answered") { EXPECT_TRUE(...); } }
/// \endcode
#define SECTION(story)                                                                             \
  if (const ::testing::ScopedTrace sectionTrace(__FILE__, __LINE__, story); true)
