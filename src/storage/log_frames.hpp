#pragma once

#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

/// \file Frames of length, checksums and payload. A log file is a sequence of frames, one per sync.
/// The identity and hard-state files have one frame, a snapshot file has two.

namespace gooseberrysail::impl {

inline constexpr std::size_t kFrameHeaderBytes = 24;

/// \brief Size of the unit that a disk writes atomically.
inline constexpr std::size_t kSectorBytes = 512;

[[nodiscard]] std::vector<std::uint8_t> EncodeFrame(std::span<const std::uint8_t> payload);

struct FrameScan
{
  std::vector<std::span<const std::uint8_t>> payloads;
  std::size_t validBytes = 0; ///< End of the last valid frame.
  bool torn = false;          ///< An incompletely written frame follows.
};

/// \brief Reads all frames of a file.
/// \param mayBeTorn Whether the file is the last one written, so that its end may be incomplete.
/// \returns kCorrupt, with file and offset, if a synced frame is damaged.
[[nodiscard]] Result<FrameScan> ScanFrames(std::span<const std::uint8_t> file,
                                           const std::string& path,
                                           bool mayBeTorn);

} // namespace gooseberrysail::impl
