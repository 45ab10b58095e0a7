#pragma once

/// Records of the published configuration: the head, and the chunks of a document by their hash.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Decision {

/// Most bytes of a document in one key; the store takes values up to a megabyte.
inline constexpr std::size_t maximumChunkBytes = std::size_t { 512 } * 1024;
/// Accepted changes that the head remembers.
inline constexpr std::size_t maximumRecentChanges = 64;

/// An accepted change.
struct AcceptedChange {
    std::string changeId;
    std::uint64_t revision = 0;
    std::string documentHash;

    bool operator==(const AcceptedChange&) const = default;
};

/// The one key whose compare-and-swap accepts a configuration.
struct HeadRecord {
    std::uint64_t revision = 0; ///< Zero when nothing was ever published.
    std::string changeId;
    std::string author;
    std::string reason;
    std::vector<std::string> chunks; ///< Hashes, in the document's order.
    std::vector<std::string> olderChunks; ///< Of the revision before, kept for hosts that are still reading it.
    std::vector<AcceptedChange> recent; ///< The latest ones, newest last; this one included.

    const AcceptedChange* findChange(const std::string& changeId) const;
};

/// A piece of a document.
struct Chunk {
    std::string hash;
    std::string content;
};

extern const char* const headKey;
std::string chunkKey(const std::string& hash);
/// 32 hexadecimal digits. Tells mistakes apart, not forgeries.
std::string contentHash(std::string_view);
std::vector<Chunk> splitDocument(const std::string&);

std::string encodeHead(const HeadRecord&);
std::optional<HeadRecord> decodeHead(std::string_view);

} // namespace Decision
