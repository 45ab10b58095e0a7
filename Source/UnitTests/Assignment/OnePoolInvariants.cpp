/// Canonical form and invariants of World.

#include "Assignment/OnePoolModel.h"

#include "Decision/Assignment/AssignmentCodec.h"

#include <algorithm>
#include <set>

namespace OnePool {

using namespace Decision;

namespace {

    /// Builds the canonical form of a world. Times are relative to `now` and capped where a longer time makes no difference.
    class Writer {
    public:
        explicit Writer(Common::Instant now)
            : m_now(now)
        {
        }

        void number(std::int64_t n) { m_out.append(reinterpret_cast<const char*>(&n), sizeof n); }
        void text(const std::string& text) { m_out += text + '\0'; }
        void past(Common::Instant instant, Tick limit)
        {
            number(std::min<std::int64_t>((m_now - instant).count(), std::chrono::microseconds(limit).count()));
        }
        void future(Common::Instant instant) { number(std::max<std::int64_t>((instant - m_now).count(), 0)); }
        void record(const AssignmentRecord& record) { appendCanonicalRecord(m_out, record); }

        void work(const Work& work)
        {
            text(work.upstream + work.pool + (work.running ? 'r' : '-'));
            future(work.endsAt);
        }

        void members(const std::vector<MemberProcess>& members)
        {
            for (const MemberProcess& member : members) {
                text(member.process.host);
                number(static_cast<std::int64_t>(member.process.incarnation));
                number(member.gone + 2 * member.leaseHeld);
            }
        }

        void host(const Host& host, const Scenario& scenario)
        {
            number(static_cast<std::int64_t>(host.process.incarnation));
            host.table.appendCanonical(m_out, m_now);
            number(host.leaseCall ? 1 + host.leaseCall->answered : 0);
            if (host.leaseCall) {
                number(host.leaseCall->lease.id);
                past(host.leaseCall->lease.requestedAt, scenario.timeToLive);
            }
            number(static_cast<std::int64_t>(host.reads.size()));
            for (const ReadReply& reply : host.reads) {
                record(reply.record);
                number(reply.leaseAtRequest);
            }
            number(host.pending.has_value() + 2 * host.work.has_value() + 4 * static_cast<int>(host.orphanedWork.size()));
            if (host.pending) {
                text(host.pending->upstream + host.pending->pool);
                past(host.pending->checkedAt, scenario.sendPause);
            }
            if (host.work)
                work(*host.work);
            for (const Work& orphan : host.orphanedWork)
                work(orphan);
            if (host.answer)
                answer(*host.answer);
        }

        void mover(const Mover& mover)
        {
            mover.coordinator.appendCanonical(m_out, m_now);
            number(mover.delayedWrite.has_value());
            if (mover.delayedWrite) {
                record(mover.delayedWrite->next);
                number(mover.delayedWrite->expectedRevision.value_or(-1));
            }
        }

        std::string take() { return std::move(m_out); }

    private:
        void answer(const Messages::AssignmentAnswer& answer)
        {
            number(static_cast<std::int64_t>(answer.version));
            number(static_cast<std::int64_t>(answer.incarnation));
            for (const std::string& upstream : answer.idle)
                text(upstream);
        }

        Common::Instant m_now;
        std::string m_out;
    };

    /// Adds the pools on whose behalf a host uses the upstream or may dispatch to it now.
    void addUses(const Host& host, const std::string& upstream, Common::Instant now, std::set<std::string>& pools)
    {
        if (host.pending && host.pending->upstream == upstream)
            pools.insert(host.pending->pool);
        if (host.work && host.work->running && host.work->upstream == upstream)
            pools.insert(host.work->pool);
        for (const Work& orphan : host.orphanedWork) {
            if (orphan.upstream == upstream)
                pools.insert(orphan.pool);
        }
        const auto it = host.table.record().upstreams.find(upstream);
        if (it != host.table.record().upstreams.end() && host.table.mayDispatch(upstream, it->second.pool, now))
            pools.insert(it->second.pool);
    }

} // namespace

std::string World::canonical() const
{
    Writer writer(now);
    writer.record(store.record);
    writer.number(store.revision);
    writer.members(store.members);
    for (const auto& [process, lease] : store.leases) {
        writer.text(process.host);
        writer.number(static_cast<std::int64_t>(process.incarnation));
        writer.number(lease.id);
        writer.future(lease.requestedAt);
    }
    for (const Host& host : hosts)
        writer.host(host, *scenario);
    for (const Mover& mover : movers)
        writer.mover(mover);
    for (const unsigned bound : { remaining.moveRequests, remaining.aborts, remaining.hostCrashes, remaining.moverCrashes, remaining.leaseGrants })
        writer.number(bound);
    return writer.take();
}

std::string World::violation() const
{
    if (!scenario->checkOnlyTwoPools && !fault.empty())
        return fault;
    for (const auto& [upstream, assignment] : store.record.upstreams) {
        std::set<std::string> pools;
        for (const Host& host : hosts)
            addUses(host, upstream, now, pools);
        // A host that starts now would follow the record.
        if (assignment.state == AssignmentState::Serving)
            pools.insert(assignment.pool);
        if (pools.size() > 1)
            return upstream + " is in two pools";
        if (!scenario->checkOnlyTwoPools && assignment.state == AssignmentState::Idle && !pools.empty())
            return upstream + " is Idle and in use";
    }
    return {};
}

} // namespace OnePool
