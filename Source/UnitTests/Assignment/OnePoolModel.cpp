#include "Assignment/OnePoolModel.h"

#include <algorithm>

namespace OnePool {

using namespace Decision;

namespace {

    constexpr std::size_t expectedSuccessors = 32;

    AssignmentTable newTable(const Scenario& scenario, std::uint64_t incarnation)
    {
        return AssignmentTable::create({ incarnation, scenario.sendPause, scenario.guards }).take();
    }

    MoveCoordinator newCoordinator(const Scenario& scenario)
    {
        return MoveCoordinator::create({ scenario.runTime, scenario.guards }).take();
    }

    void addLease(World& world, const ProcessId& process)
    {
        Store& store = world.store;
        store.leases[process] = { ++store.lastLease, world.now + world.scenario->timeToLive, world.scenario->timeToLive };
        const auto isSame = [&process](const MemberProcess& member) { return member.process == process; };
        if (std::none_of(store.members.begin(), store.members.end(), isSame))
            store.members.push_back({ process, false, false });
        for (MemberProcess& member : store.members) {
            if (member.process.host == process.host && member.process != process)
                member.gone = true;
        }
    }

    /// Builds the successors of one world.
    class Expansion {
    public:
        explicit Expansion(const World& world)
            : m_world(world)
        {
        }

        std::vector<Successor> run()
        {
            m_successors.reserve(expectedSuccessors);
            for (std::size_t i = 0; i < m_world.hosts.size(); ++i) {
                lease(i);
                reads(i);
                dispatches(i);
                answers(i);
                crash(i);
            }
            for (std::size_t i = 0; i < m_world.movers.size(); ++i) {
                moverReads(i);
                moverWrites(i);
                moverRequests(i);
            }
            tick();
            return std::move(m_successors);
        }

    private:
        template<typename Change>
        void add(Label label, Change change)
        {
            m_successors.push_back({ label, m_world });
            change(m_successors.back().world);
        }

        void lease(std::size_t i)
        {
            if (!m_world.scenario->leaseCalls)
                return;
            const Host& host = m_world.hosts[i];
            // A second call replaces one whose reply was lost.
            add({ "host requests its lease", i }, [i](World& world) {
                world.hosts[i].leaseCall = LeaseCall { { 0, world.now, world.scenario->timeToLive }, false };
            });
            if (!host.leaseCall)
                return;
            if (host.leaseCall->answered) {
                add({ "lease reply arrives at host", i }, [i](World& world) {
                    Host& host = world.hosts[i];
                    host.table.handleLeaseReply(host.leaseCall->lease, world.now);
                    host.leaseCall.reset();
                });
                return;
            }
            const bool held = m_world.store.leases.contains(host.process);
            if (!held && !m_world.remaining.leaseGrants)
                return;
            add({ held ? "store renews lease" : "store grants lease", i }, [i, held](World& world) {
                Host& host = world.hosts[i];
                if (!held) {
                    --world.remaining.leaseGrants;
                    addLease(world, host.process);
                }
                ViewLease& lease = world.store.leases[host.process];
                lease.requestedAt = world.now + world.scenario->timeToLive;
                host.leaseCall->lease.id = lease.id;
                host.leaseCall->answered = true;
            });
        }

        void reads(std::size_t i)
        {
            const Host& host = m_world.hosts[i];
            const ReadReply fresh { m_world.store.record, host.table.leaseForRead() };
            const auto isFresh = [&fresh](const ReadReply& reply) {
                return reply.record.version == fresh.record.version && reply.leaseAtRequest == fresh.leaseAtRequest;
            };
            const bool known = std::any_of(host.reads.begin(), host.reads.end(), isFresh);
            if (!known && host.reads.size() < m_world.scenario->outstandingReads)
                add({ "store answers read of host", i }, [&](World& world) { world.hosts[i].reads.push_back(fresh); });
            for (std::size_t k = 0; k < host.reads.size(); ++k) {
                add({ "read reply arrives at host", i }, [i, k](World& world) {
                    Host& host = world.hosts[i];
                    const auto before = host.table.version();
                    host.table.handleRecordRead(host.reads[k].record, host.reads[k].leaseAtRequest);
                    host.reads.erase(host.reads.begin() + static_cast<std::ptrdiff_t>(k));
                    if (host.table.version() < before)
                        world.fault = "the version known to a host decreased";
                });
            }
        }

        void dispatches(std::size_t i)
        {
            if (!m_world.scenario->dispatches)
                return;
            const Host& host = m_world.hosts[i];
            if (host.pending) {
                add({ "host sends", i }, [i](World& world) {
                    Host& host = world.hosts[i];
                    host.work = Work { host.pending->upstream, host.pending->pool, world.now + world.scenario->runTime, true, true };
                    host.pending.reset();
                });
            } else if (host.work) {
                add({ "work ends", i }, [i](World& world) {
                    Host& host = world.hosts[i];
                    host.table.endDispatch(host.work->upstream);
                    host.work.reset();
                });
                if (host.work->running && host.orphanedWork.empty())
                    add({ "host abandons work", i }, [i](World& world) { abandon(world.hosts[i]); });
            } else {
                for (const auto& entry : host.table.record().upstreams) {
                    const std::string& upstream = entry.first;
                    const UpstreamAssignment& assignment = entry.second;
                    if (!host.table.mayDispatch(upstream, assignment.pool, m_world.now))
                        continue;
                    add({ "host checks dispatch", i }, [&, i](World& world) {
                        world.hosts[i].table.beginDispatch(upstream, assignment.pool, world.now);
                        world.hosts[i].pending = PendingSend { upstream, assignment.pool, world.now };
                    });
                }
            }
        }

        static void abandon(Host& host)
        {
            host.table.abandonDispatch(host.work->upstream, host.work->endsAt);
            host.orphanedWork.push_back(*host.work);
            host.work.reset();
        }

        void answers(std::size_t i)
        {
            const Host& host = m_world.hosts[i];
            for (std::size_t m = 0; m < m_world.movers.size(); ++m) {
                for (const AddressedQuery& query : m_world.movers[m].coordinator.queries()) {
                    if (query.to != host.process.host)
                        continue;
                    AssignmentTable table = host.table;
                    if (const auto answer = table.answer(query.query, m_world.now))
                        add({ "host answers", i }, [&](World& world) { world.hosts[i].answer = answer; });
                }
                if (host.answer)
                    add({ "answer arrives from host", i }, [i, m](World& world) {
                        world.movers[m].coordinator.handleAnswer(world.hosts[i].process.host, *world.hosts[i].answer);
                    });
            }
        }

        void crash(std::size_t i)
        {
            if (!m_world.remaining.hostCrashes)
                return;
            add({ "host restarts", i }, [i](World& world) {
                --world.remaining.hostCrashes;
                Host& old = world.hosts[i];
                Host host { old.process, newTable(*world.scenario, old.process.incarnation + 1), {}, {}, {}, {}, old.orphanedWork, old.answer };
                ++host.process.incarnation;
                if (old.work && old.work->running)
                    host.orphanedWork.push_back(*old.work);
                old = std::move(host);
            });
        }

        void moverReads(std::size_t i)
        {
            add({ "mover reads", i }, [i](World& world) {
                AssignmentSnapshot snapshot { world.store.record, world.store.revision, world.store.members };
                for (MemberProcess& member : snapshot.members)
                    member.leaseHeld = world.store.leases.contains(member.process);
                world.movers[i].coordinator.handleSnapshot(snapshot, world.now);
            });
        }

        static void apply(World& world, const RecordWrite& write)
        {
            Store& store = world.store;
            if (write.expectedRevision && *write.expectedRevision != store.revision)
                return;
            if (!isNextVersion(store.record, write.next))
                world.fault = "the record skipped a step or its version decreased";
            store.record = write.next;
            ++store.revision;
        }

        void moverWrites(std::size_t i)
        {
            Mover mover = m_world.movers[i];
            if (mover.delayedWrite) {
                add({ "delayed write takes effect", i }, [i](World& world) {
                    apply(world, *world.movers[i].delayedWrite);
                    world.movers[i].delayedWrite.reset();
                });
            }
            for (const ProcessId& process : mover.coordinator.removableMembers(m_world.now)) {
                add({ "mover removes member", i }, [&process](World& world) {
                    std::erase_if(world.store.members, [&](const MemberProcess& member) { return member.process == process; });
                });
            }
            const auto write = mover.coordinator.nextWrite(m_world.now);
            if (!write || write->next.version > m_world.scenario->maximumVersion)
                return;
            mover.coordinator.handleWriteEnd(write->token);
            add({ "mover writes", i }, [&](World& world) {
                apply(world, *write);
                world.movers[i].coordinator = mover.coordinator;
            });
            if (!m_world.scenario->uncertainWrites)
                return;
            add({ "mover writes with unknown outcome", i }, [&](World& world) {
                world.movers[i].coordinator = mover.coordinator;
                world.movers[i].delayedWrite = write;
            });
        }

        void moverRequests(std::size_t i)
        {
            if (m_world.remaining.moveRequests) {
                for (const MoveRequest& request : m_world.scenario->requests) {
                    add({ "move requested from mover", i }, [&, i](World& world) {
                        --world.remaining.moveRequests;
                        world.movers[i].coordinator.requestMove(request);
                    });
                }
            }
            if (m_world.remaining.aborts) {
                for (const auto& entry : m_world.store.record.upstreams) {
                    const std::string& upstream = entry.first;
                    add({ "abort requested from mover", i }, [&, i](World& world) {
                        --world.remaining.aborts;
                        world.movers[i].coordinator.requestAbort(upstream);
                    });
                }
            }
            if (m_world.remaining.moverCrashes)
                add({ "mover restarts", i }, [i](World& world) {
                    --world.remaining.moverCrashes;
                    world.movers[i].coordinator = newCoordinator(*world.scenario);
                });
        }

        void tick()
        {
            add({ "tick", 0 }, [](World& world) {
                world.now += Tick(1);
                std::erase_if(world.store.leases, [&](const auto& entry) { return entry.second.requestedAt <= world.now; });
                for (Host& host : world.hosts)
                    tickHost(host, world);
            });
        }

        static void tickHost(Host& host, const World& world)
        {
            std::erase_if(host.orphanedWork, [&](const Work& work) { return work.endsAt <= world.now; });
            if (host.work && host.work->endsAt <= world.now)
                host.work->running = false;
            // The protocol assumes that no pause between check and send is longer than sendPause.
            if (host.pending && world.now - host.pending->checkedAt > world.scenario->sendPause) {
                host.table.endDispatch(host.pending->upstream);
                host.pending.reset();
            }
        }

        const World& m_world;
        std::vector<Successor> m_successors;
    };

} // namespace

World World::create(const Scenario& scenario)
{
    World world;
    world.scenario = std::make_shared<const Scenario>(scenario);
    world.remaining = scenario.bounds;
    world.now += std::chrono::hours(1);
    world.store.record = scenario.record;
    for (unsigned i = 0; i < scenario.hosts; ++i) {
        const ProcessId process { "h" + std::to_string(i), 1 };
        addLease(world, process);
        Host host { process, newTable(scenario, 1), {}, {}, {}, {}, {}, {} };
        host.table.handleLeaseReply({ world.store.lastLease, world.now, scenario.timeToLive }, world.now);
        host.table.handleRecordRead(scenario.record, host.table.leaseForRead());
        world.hosts.push_back(std::move(host));
    }
    for (unsigned i = 0; i < scenario.movers; ++i)
        world.movers.push_back({ newCoordinator(scenario), {} });
    return world;
}

std::vector<Successor> successorsOf(const World& world)
{
    return Expansion(world).run();
}

} // namespace OnePool
