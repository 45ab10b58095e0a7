#pragma once

/// A simulated host with a membership core and a duty core, which can be paused and killed.

#include "Decision/Membership/Duty.h"
#include "Decision/Membership/Membership.h"
#include "Membership/FakeStore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Testing {

class MemberHost : public std::enable_shared_from_this<MemberHost> {
public:
    using Send = std::function<void(const std::string& from, const Decision::PeerSend&)>;

    MemberHost(Simulation&, FakeStore&, const Decision::MembershipSettings&, Decision::MembershipGuards, Decision::DutyGuards, Send);

    void start() { wake(); }
    void pause() { m_paused = true; }
    void resume();
    void kill() { m_dead = true; }
    bool isRunning() const { return !m_dead && !m_paused; }
    bool isDead() const { return m_dead; }
    /// Delivers an event; while the host is paused it is queued until resume().
    void deliver(std::function<void()> event);
    void deliverHeartbeat(const std::string& from, const Messages::Heartbeat&);
    /// Makes the membership core leave and runs its actions.
    void leave();

    std::string name;
    std::uint64_t incarnation = 0;
    std::unique_ptr<Decision::Membership> membership;
    std::unique_ptr<Decision::DutyHolder> duty;

private:
    void wake();
    void pump();

    Simulation& m_simulation;
    FakeStore& m_store;
    Send m_send;
    bool m_paused = false;
    bool m_dead = false;
    std::uint64_t m_wakeup = 0;
    std::vector<std::function<void()>> m_queuedEvents;
};

} // namespace Testing
