#pragma once

/// Idempotency keys: a UUID of version 7 (RFC 9562), optionally prefixed with "<data centre>/".

#include "Common/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Decision {

/// Parsed form of a key sent by a caller.
struct IdempotencyKey {
    std::string dataCentre; ///< Data centre of the first try; empty when the key doesn't name one.
    Common::WallTime issued {}; ///< Time stamp of the UUID, by the clock of the caller that created it.

    /// Returns nullopt when the text isn't a valid key.
    static std::optional<IdempotencyKey> parse(std::string_view text);
};

/// Data centre whose entry hosts keep the claim: the one named by the key, otherwise one chosen by rendezvous hash among
/// all configured data centres, so that every entry host picks the same one. Returns nullopt when the named data centre
/// isn't configured, or none is. `text` is the key as sent.
std::optional<std::string> homeDataCentreOf(const IdempotencyKey&, std::string_view text, const std::vector<std::string>& dataCentres);

} // namespace Decision
