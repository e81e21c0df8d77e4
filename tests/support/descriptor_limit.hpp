#pragma once

#include <sys/resource.h>

namespace gooseberrysail::test {

/// \brief Limits the descriptors of this process and of those that it starts meanwhile.
class DescriptorLimit
{
public:
  explicit DescriptorLimit(rlim_t descriptors)
  {
    getrlimit(RLIMIT_NOFILE, &m_before);
    const rlimit low{ descriptors, m_before.rlim_max };
    setrlimit(RLIMIT_NOFILE, &low);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_before); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
  rlimit m_before{};
};

} // namespace gooseberrysail::test
