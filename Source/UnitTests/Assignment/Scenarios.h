#pragma once

/// Scenarios shared by the explorations.

#include "Assignment/OnePoolModel.h"

namespace OnePool {

/// One host, one mover, and a move of upstream "u" from pool "A" to "B". No other rare event may happen.
inline Scenario oneMove(bool pinned)
{
    Scenario scenario;
    Decision::UpstreamAssignment assignment;
    assignment.pool = "A";
    assignment.since = 1;
    assignment.pinned = pinned;
    scenario.record.version = 1;
    scenario.record.upstreams["u"] = assignment;
    scenario.requests = { { "u", "B", false, pinned } };
    return scenario;
}

/// Like oneMove(), without lease calls and dispatches: covers only the record and the permission to dispatch.
inline Scenario recordOnly(bool pinned)
{
    Scenario scenario = oneMove(pinned);
    scenario.leaseCalls = false;
    scenario.dispatches = false;
    return scenario;
}

/// The host may lose its lease and get a new one.
inline Scenario newLease()
{
    Scenario scenario = oneMove(false);
    scenario.bounds.leaseGrants = 1;
    scenario.uncertainWrites = false;
    scenario.runTime = Tick(2);
    return scenario;
}

/// The host may be replaced by a new process that registers.
inline Scenario restart(bool pinned)
{
    Scenario scenario = oneMove(pinned);
    scenario.bounds.hostCrashes = 1;
    scenario.bounds.leaseGrants = 1;
    scenario.uncertainWrites = false;
    return scenario;
}

/// A move is aborted and requested again.
inline Scenario abortAndRetry()
{
    Scenario scenario = recordOnly(true);
    scenario.bounds.aborts = 1;
    scenario.bounds.moveRequests = 2;
    scenario.maximumVersion = 6;
    return scenario;
}

/// Two movers that both believe they hold the duty, a restart of one of them, and an abort.
inline Scenario racingMovers()
{
    Scenario scenario = recordOnly(false);
    scenario.movers = 2;
    scenario.bounds.aborts = 1;
    scenario.bounds.moverCrashes = 1;
    scenario.uncertainWrites = false;
    return scenario;
}

/// Two movers and a host that dispatches; writes may have an unknown outcome.
inline Scenario twoMovers(bool pinned)
{
    Scenario scenario = oneMove(pinned);
    scenario.movers = 2;
    scenario.leaseCalls = false;
    return scenario;
}

/// Two hosts that dispatch; writes may have an unknown outcome.
inline Scenario twoHosts(bool pinned)
{
    Scenario scenario = oneMove(pinned);
    scenario.hosts = 2;
    scenario.leaseCalls = false;
    return scenario;
}

/// Upstreams "u" and "v" swap the pools "A" and "B".
inline Scenario swap()
{
    Scenario scenario = oneMove(false);
    scenario.record.upstreams["v"] = scenario.record.upstreams["u"];
    scenario.record.upstreams["v"].pool = "B";
    scenario.requests.push_back({ "v", "A", false, false });
    scenario.bounds.moveRequests = 2;
    scenario.maximumVersion = 7;
    scenario.leaseCalls = false;
    scenario.uncertainWrites = false;
    return scenario;
}

/// The reply to an earlier read may arrive after that to a later one.
inline Scenario reorderedReads()
{
    Scenario scenario = oneMove(false);
    scenario.outstandingReads = 2;
    scenario.leaseCalls = false;
    return scenario;
}

/// The pause between check and send is up to two ticks, and the send margin is the same.
inline Scenario longPause()
{
    Scenario scenario = oneMove(false);
    scenario.sendPause = Tick(2);
    scenario.timeToLive = Tick(4);
    scenario.leaseCalls = false;
    scenario.uncertainWrites = false;
    return scenario;
}

/// Work outlives the lease of the process that sent it.
inline Scenario longWork()
{
    Scenario scenario = oneMove(false);
    scenario.runTime = Tick(2);
    scenario.leaseCalls = false;
    return scenario;
}

/// A pinned upstream is to be unpinned in its pool, and also to be moved.
inline Scenario unpinAndMove()
{
    Scenario scenario = recordOnly(true);
    scenario.requests = { { "u", "B", false, false }, { "u", "A", false, false } };
    scenario.bounds.moveRequests = 2;
    scenario.maximumVersion = 6;
    return scenario;
}

/// The lease may be renewed late, and every write may have an unknown outcome.
inline Scenario lateRenewal()
{
    return oneMove(false);
}

} // namespace OnePool
