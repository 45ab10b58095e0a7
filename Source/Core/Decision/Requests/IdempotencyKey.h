#pragma once

/// Idempotency keys: a UUID of version 7 (RFC 9562), optionally behind "<data centre>/".

#include "Common/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Decision {

/// Parsed form of a key that a caller sent.
struct IdempotencyKey {
    std::string dataCentre; ///< Of the first try; empty when the key doesn't name one.
    Common::WallTime issued {}; ///< Time stamp inside the UUID: the clock of the caller that made it.

    /// Nothing when the text isn't such a key.
    static std::optional<IdempotencyKey> parse(std::string_view text);
};

/// Data centre whose entry hosts keep the claim: the one the key names, else one chosen by hash among all that
/// are configured, so that every entry host everywhere picks the same. Nothing when a named one isn't configured.
std::optional<std::string> homeOf(const IdempotencyKey&, std::string_view text, const std::vector<std::string>& dataCentres);

} // namespace Decision
