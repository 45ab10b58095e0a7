#pragma once

/// Scenarios that the explorations share.

#include "Assignment/OnePoolModel.h"

namespace OnePool {

/// One host, one mover, upstream "u" of pool "A" that is wanted in "B". Every bound but one move is zero.
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

/// As oneMove, but only the record and who may dispatch are looked at.
inline Scenario recordOnly(bool pinned)
{
    Scenario scenario = oneMove(pinned);
    scenario.leaseCalls = false;
    scenario.dispatches = false;
    return scenario;
}

/// The host may lose its lease and get another.
inline Scenario newLease()
{
    Scenario scenario = oneMove(false);
    scenario.budget.leaseGrants = 1;
    scenario.uncertainWrites = false;
    scenario.runTime = Tick(2);
    return scenario;
}

/// The host may be replaced by a new process that registers.
inline Scenario restart(bool pinned)
{
    Scenario scenario = oneMove(pinned);
    scenario.budget.hostCrashes = 1;
    scenario.budget.leaseGrants = 1;
    scenario.uncertainWrites = false;
    return scenario;
}

/// A move is taken back and wanted again.
inline Scenario abortAndRetry()
{
    Scenario scenario = recordOnly(true);
    scenario.budget.aborts = 1;
    scenario.budget.askings = 2;
    scenario.maximumVersion = 6;
    return scenario;
}

/// Two movers that both believe to hold the duty, one of them replaced on the way, and an abort.
inline Scenario racingMovers()
{
    Scenario scenario = recordOnly(false);
    scenario.movers = 2;
    scenario.budget.aborts = 1;
    scenario.budget.moverCrashes = 1;
    scenario.uncertainWrites = false;
    return scenario;
}

/// Two movers and a host that works; writes may be uncertain.
inline Scenario twoMovers(bool pinned)
{
    Scenario scenario = oneMove(pinned);
    scenario.movers = 2;
    scenario.leaseCalls = false;
    return scenario;
}

inline Scenario twoHosts(bool pinned)
{
    Scenario scenario = oneMove(pinned);
    scenario.hosts = 2;
    scenario.leaseCalls = false;
    return scenario;
}

/// Upstreams "u" and "v" change places between "A" and "B".
inline Scenario swap()
{
    Scenario scenario = oneMove(false);
    scenario.record.upstreams["v"] = scenario.record.upstreams["u"];
    scenario.record.upstreams["v"].pool = "B";
    scenario.requests.push_back({ "v", "A", false, false });
    scenario.budget.askings = 2;
    scenario.maximumVersion = 7;
    scenario.leaseCalls = false;
    scenario.uncertainWrites = false;
    return scenario;
}

/// A read of an older record may arrive after that of a newer one.
inline Scenario reorderedReads()
{
    Scenario scenario = oneMove(false);
    scenario.outstandingReads = 2;
    scenario.leaseCalls = false;
    return scenario;
}

/// A pause of two ticks between check and send, and a margin as long.
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

/// A pinned upstream is to become floating where it is, and to move.
inline Scenario unpinAndMove()
{
    Scenario scenario = recordOnly(true);
    scenario.requests = { { "u", "B", false, false }, { "u", "A", false, false } };
    scenario.budget.askings = 2;
    scenario.maximumVersion = 6;
    return scenario;
}

/// The lease may be renewed late, and every write may be uncertain.
inline Scenario lateRenewal()
{
    return oneMove(false);
}

} // namespace OnePool
