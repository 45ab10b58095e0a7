#pragma once

/// Objects that operators configure. ObjectParser.h parses them, Validator.h validates them, FieldTable.h describes each field.

#include "Common/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Objects {

/// Level of a failure domain; a rack lies in a data centre, a data centre in a region.
enum class DomainLevel {
    Region,
    DataCentre,
    Rack,
};

/// A set of hosts that can fail together.
struct FailureDomain {
    std::string name;
    DomainLevel level = DomainLevel::Rack;
    std::string parent; ///< Name of the enclosing domain; empty for a region.

    bool operator==(const FailureDomain&) const = default;
};

/// A group of upstreams that serve the same services.
struct Pool {
    std::string name;
    bool spare = false; ///< Hosts of a spare pool may be moved to other pools at a peak.
    unsigned minimumHosts = 0; ///< For each data centre that has hosts of the pool.
    unsigned pinnedHosts = 0; ///< For each data centre. A pinned host is moved only after every member has explicitly confirmed that it is idle.

    bool operator==(const Pool&) const = default;
};

/// A service that callers can request. It runs in one pool, which can't change once published.
struct Service {
    std::string name;
    std::string pool;
    std::vector<std::string> teams; ///< Teams that may call it; empty for all.
    std::size_t maximumBodyBytes = 65536;
    std::chrono::milliseconds expectedRunTime { 100 }; ///< Initial estimate; replaced by measured run times.
    std::chrono::milliseconds maximumDeadline { 60000 };

    bool operator==(const Service&) const = default;
};

/// A priority level that teams pay for. The lowest rank is served first.
struct Priority {
    std::string name;
    unsigned rank = 0;

    bool operator==(const Priority&) const = default;
};

/// A paying customer.
struct Team {
    std::string name;
    std::vector<std::string> priorities; ///< Priorities that the team may request.
    unsigned slotQuota = 0; ///< Slots that the team may use at once in a data centre, for each pool.
    unsigned weight = 1; ///< Share among the teams of one priority.

    bool operator==(const Team&) const = default;
};

/// Availability budget of a service in a data centre.
struct Budget {
    std::string name;
    std::string service;
    std::string dataCentre;
    unsigned minimumAvailablePercent = 0; ///< Share of the hosts of the service's pool in the data centre.

    bool operator==(const Budget&) const = default;
};

/// A maintenance wave that drains and reboots every host of its pools.
struct Wave {
    std::string name;
    std::vector<std::string> pools;
    std::vector<std::string> dataCentres; ///< Empty for all.
    Common::WallTime windowStart {};
    std::chrono::seconds windowLength { 0 };
    std::chrono::seconds drainLimit { 60 }; ///< After this, the tasks that still hold up the drain are stopped, lowest priority first.
    std::chrono::seconds rebootTime { 300 }; ///< From the end of a drain until the host serves again.
    bool paused = false;

    bool operator==(const Wave&) const = default;
};

/// An executor on a worker. By default it has 8 slots and 64 connections.
struct Upstream {
    std::string name;
    std::string address; ///< "ip:port".
    std::string pool; ///< Pool at first publication; later moves are stored outside the configuration.
    std::string rack;
    unsigned slots = 8;
    unsigned connections = 64;

    bool operator==(const Upstream&) const = default;
};

/// A complete set of objects. Keys are object names.
struct ObjectSet {
    std::map<std::string, FailureDomain> domains;
    std::map<std::string, Pool> pools;
    std::map<std::string, Service> services;
    std::map<std::string, Priority> priorities;
    std::map<std::string, Team> teams;
    std::map<std::string, Budget> budgets;
    std::map<std::string, Wave> waves;
    std::map<std::string, Upstream> upstreams;

    /// Data centre of an upstream by its rack; nullopt if the rack doesn't exist or the domain isn't a rack.
    std::optional<std::string> dataCentreOf(const Upstream&) const;

    bool operator==(const ObjectSet&) const = default;
};

} // namespace Objects
