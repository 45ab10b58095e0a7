#include "Membership/MemberHost.h"

#include <algorithm>
#include <utility>

namespace Testing {

using namespace Decision;

MemberHost::MemberHost(Simulation& simulation, FakeStore& store, const MembershipSettings& settings, MembershipGuards guards,
    DutyGuards dutyGuards, Send send)
    : name(settings.self)
    , incarnation(settings.incarnation)
    , membership(Membership::create(settings, guards).take())
    , duty(DutyHolder::create({ "moves/" + settings.dataCentre, settings.self, settings.incarnation }, dutyGuards).take())
    , m_simulation(simulation)
    , m_store(store)
    , m_send(std::move(send))
{
}

void MemberHost::deliver(std::function<void()> event)
{
    if (m_dead)
        return;
    if (m_paused) {
        m_queuedEvents.push_back(std::move(event));
        return;
    }
    event();
    wake();
}

void MemberHost::resume()
{
    m_paused = false;
    for (auto& event : std::exchange(m_queuedEvents, {}))
        deliver(std::move(event));
    wake();
}

void MemberHost::deliverHeartbeat(const std::string& from, const Messages::Heartbeat& beat)
{
    deliver([this, from, beat] { membership->handle(m_simulation.now(), HeartbeatReceived { from, beat }); });
}

void MemberHost::leave()
{
    membership->leave(m_simulation.now());
    wake();
}

void MemberHost::wake()
{
    if (!isRunning())
        return;
    const auto now = m_simulation.now();
    membership->tick(now);
    duty->tick(now, { membership->lease(now), membership->leaseValidUntil(), membership->aliveMembers(now) });
    pump();
    auto next = membership->nextDeadline();
    if (const auto other = duty->nextDeadline(); next && other)
        next = std::min(*next, *other);
    if (!next)
        return;
    const auto delay = std::max<std::chrono::microseconds>(*next - now, milliseconds(1));
    m_simulation.after(delay, [self = shared_from_this(), wakeup = ++m_wakeup] {
        if (self->m_wakeup == wakeup)
            self->wake();
    });
}

void MemberHost::pump()
{
    const auto self = shared_from_this();
    for (const auto& action : membership->takeActions()) {
        if (const auto* message = std::get_if<PeerSend>(&action)) {
            m_send(name, *message);
            continue;
        }
        m_store.call(name, std::get<PlatformAction>(action), [self](const PlatformReplied& event) {
            self->deliver([self, event] { self->membership->handle(self->m_simulation.now(), event); });
        });
    }
    for (const auto& action : duty->takeActions()) {
        m_store.call(name, action, [self](const PlatformReplied& event) {
            self->deliver([self, event] { self->duty->handle(self->m_simulation.now(), event); });
        });
    }
}

} // namespace Testing
