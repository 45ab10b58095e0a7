#pragma once

/// Maintains this host's entry in its data centre's view: reads the view, joins, keeps the member key, removes others, leaves.

#include "Common/Time.h"
#include "Decision/Membership/Membership.h"
#include "Decision/Membership/PeerTable.h"

#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// Changes the view by compare-and-swap, with one store call in flight at a time. Every write is settled by reading the view back.
class ViewKeeper {
public:
    ViewKeeper(const MembershipSettings&, MembershipGuards);

    /// Starts the next call when one is due. `lease` is nothing while no lease is valid.
    void tick(Common::Instant now, std::optional<Ports::LeaseId> lease, const PeerTable&, PlatformToken& nextToken);
    /// True when the reply was to one of these calls; the follow-up goes out with the next tick.
    bool handle(Common::Instant now, const PlatformReplied&);
    /// Takes the epoch in a peer's heartbeat; one later than the known epoch makes a read of the view due.
    void onPeerEpoch(Common::Instant now, std::uint64_t epoch);
    /// Removes this host from the view with the next calls that succeed; it doesn't join again.
    void leave(Common::Instant now);

    const View& view() const { return m_view; }
    bool isMember() const;
    /// The lease that the member key is known to have in the store; zero for none.
    Ports::LeaseId keyLease() const { return m_keyLease; }
    /// True once another incarnation has replaced this one in the view; no more calls are made.
    bool isSuperseded() const { return m_superseded; }
    bool isLeaving() const { return m_leaving; }
    /// Why the view in the store isn't adopted; empty when it is.
    const std::string& alarm() const { return m_alarm; }
    std::optional<Common::Instant> nextDeadline() const;
    std::vector<PlatformAction> takeActions();

private:
    enum class Call {
        None,
        ReadView,
        ReadKey,
        Write,
    };

    void startRead(Call, PlatformToken&);
    void onViewRead(Common::Instant now, const Ports::PlatformReply&);
    void onKeyRead(Common::Instant now, const Ports::PlatformReply&);
    bool adopt(const Ports::PlatformReply&);
    void checkOwnEntry();
    void decide(Common::Instant now, Ports::LeaseId, const PeerTable&, PlatformToken&);
    void join(Common::Instant now, Ports::LeaseId, PlatformToken&);
    void putKey(Ports::LeaseId, PlatformToken&);
    void removeSelf(PlatformToken&);
    bool removeUnresponsive(Common::Instant now, const PeerTable&, PlatformToken&);
    std::vector<ViewMember> removable(Common::Instant now, const PeerTable&) const;
    void write(Ports::Transaction, PlatformToken&);
    Ports::Transaction viewChange(const View&) const;
    ViewMember self() const;

    const MembershipSettings& m_settings;
    MembershipGuards m_guards;
    View m_view;
    std::int64_t m_viewRevision = 0;
    std::optional<MemberRecord> m_key;
    std::int64_t m_keyRevision = 0;
    Ports::LeaseId m_keyLease = 0;
    std::optional<std::uint64_t> m_predecessor; ///< Incarnation of this host in the first view read; zero for none.
    bool m_wasMember = false;
    bool m_superseded = false;
    bool m_leaving = false;
    bool m_hasFreshRead = false; ///< View and key have been read and not yet acted on.
    std::size_t m_removalIndex = 0;
    std::string m_alarm;
    Call m_call = Call::None;
    Call m_nextRead = Call::ReadView;
    PlatformToken m_token = 0;
    Common::Instant m_nextStep {};
    Common::Instant m_lastReadAt {};
    Common::Instant m_nextRemoval {};
    std::vector<PlatformAction> m_actions;
};

} // namespace Decision
