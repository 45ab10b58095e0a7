#pragma once

/// Store records of a data centre's membership view.

#include "Ports/PeerPort.h"
#include "Ports/PlatformPort.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Decision {

/// An entry host in a view.
struct ViewMember {
    Ports::HostId host;
    std::uint64_t incarnation = 0; ///< Differs for every start of a host.
    std::string peerAddress; ///< "ip:port".

    bool operator==(const ViewMember&) const = default;
};

/// The entry hosts of a data centre. The epoch increases by one with every change.
struct View {
    std::uint64_t epoch = 0; ///< Zero before the first change.
    std::vector<ViewMember> members; ///< One for each host name.

    /// Null when the view doesn't contain the host.
    const ViewMember* find(const Ports::HostId&) const;

    bool operator==(const View&) const = default;
};

/// Value of a member's key, which the store deletes when the member's lease ends.
struct MemberRecord {
    std::uint64_t incarnation = 0;
    Ports::LeaseId lease = 0;

    bool operator==(const MemberRecord&) const = default;
};

/// Store keys of a data centre's view and of a member.
std::string viewKey(const std::string& dataCentre);
std::string memberKey(const std::string& dataCentre, const Ports::HostId&);

/// The decoders return nothing for a text that isn't a valid record.
std::string encodeView(const View&);
std::optional<View> decodeView(std::string_view);
std::string encodeMember(const MemberRecord&);
std::optional<MemberRecord> decodeMember(std::string_view);

} // namespace Decision
