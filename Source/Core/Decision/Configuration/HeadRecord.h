#pragma once

/// Store records of the published configuration: the head, and the chunks of a document, stored by hash.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Decision {

/// Maximum size of a chunk; the store takes values up to a megabyte.
inline constexpr std::size_t maximumChunkBytes = std::size_t { 512 } * 1024;
/// Number of accepted changes that the head lists.
inline constexpr std::size_t maximumRecentChanges = 64;

/// An accepted change.
struct AcceptedChange {
    std::string changeId;
    std::uint64_t revision = 0;
    std::string documentHash;

    bool operator==(const AcceptedChange&) const = default;
};

/// Value of the head key, whose compare-and-swap accepts a change.
struct HeadRecord {
    std::uint64_t revision = 0; ///< Zero when nothing was ever published.
    std::string changeId;
    std::string author;
    std::string reason;
    std::vector<std::string> chunks; ///< Hashes, in the document's order.
    std::vector<std::string> olderChunks; ///< Of the previous revision, kept for hosts that are still reading it.
    std::vector<AcceptedChange> recent; ///< The latest accepted changes, newest last, this one included.

    /// Null when the change isn't among the recent ones.
    const AcceptedChange* findChange(const std::string& changeId) const;
};

/// A piece of a document.
struct Chunk {
    std::string hash;
    std::string content;
};

/// Store keys of the head and of a chunk.
extern const char* const headKey;
std::string chunkKey(const std::string& hash);
/// 32 hexadecimal digits. Detects accidental differences; not a cryptographic hash.
std::string contentHash(std::string_view);
/// Chunks of up to maximumChunkBytes, in the document's order.
std::vector<Chunk> splitDocument(const std::string&);

std::string encodeHead(const HeadRecord&);
/// Nothing when the text isn't a valid record.
std::optional<HeadRecord> decodeHead(std::string_view);

} // namespace Decision
