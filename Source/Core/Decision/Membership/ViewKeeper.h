#pragma once

/// This host's part in its data centre's view: reading it, joining, holding the member key, removing others, leaving.

#include "Common/Time.h"
#include "Decision/Membership/Membership.h"
#include "Decision/Membership/PeerTable.h"

#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// Changes the view by compare-and-swap, one call at a time. Every write is settled by reading back.
class ViewKeeper {
public:
    ViewKeeper(const MembershipSettings&, MembershipGuards);

    /// Starts the next call when one is due. `lease` is nothing while no lease can be relied on.
    void tick(Common::Instant now, std::optional<Ports::LeaseId> lease, const PeerTable&, PlatformToken& nextToken);
    /// True when the reply was to one of these calls; the follow-up goes out with the next tick.
    bool handle(Common::Instant now, const PlatformReplied&);
    /// A peer knows of a later epoch.
    void hint(Common::Instant now, std::uint64_t epoch);
    void leave(Common::Instant now);

    const View& view() const { return m_view; }
    bool isMember() const;
    /// The lease under which the member key surely stands; zero for none.
    Ports::LeaseId keyLease() const { return m_keyLease; }
    bool isSuperseded() const { return m_superseded; }
    bool isLeaving() const { return m_leaving; }
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
    std::optional<std::uint64_t> m_predecessor; ///< Own name's incarnation at the first read; zero for none.
    bool m_wasMember = false;
    bool m_superseded = false;
    bool m_leaving = false;
    bool m_hasFreshRead = false; ///< View and key were read and nothing was decided on them yet.
    std::size_t m_removalTurn = 0;
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
