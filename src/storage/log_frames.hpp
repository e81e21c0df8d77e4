#pragma once

#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

/// \file Frames: length, checksum and payload. A log file is a row of frames, one for each sync;
/// the small files are one frame each.

namespace gooseberrysail::impl {

inline constexpr std::size_t kFrameHeaderBytes = 24;

/// \brief Bytes that a disk writes whole or not at all.
inline constexpr std::size_t kSectorBytes = 512;

[[nodiscard]] std::vector<std::uint8_t> EncodeFrame(std::span<const std::uint8_t> payload);

struct FrameScan
{
  std::vector<std::span<const std::uint8_t>> payloads;
  std::size_t wholeBytes = 0; ///< Where the last whole frame ends.
  bool torn = false;          ///< After it lies the start of a frame whose write had not finished.
};

/// \brief Reads all frames of a file.
/// \param mayBeTorn The file is the last one written: its end may be an unfinished write.
/// \returns kCorrupt, with file and offset, when a frame is damaged that had been synced.
[[nodiscard]] Result<FrameScan> ScanFrames(std::span<const std::uint8_t> file,
                                           const std::string& path,
                                           bool mayBeTorn);

} // namespace gooseberrysail::impl
