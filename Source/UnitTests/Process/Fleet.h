#pragma once

/// A small fleet of real processes on loopback addresses: platform stand-in, executor stand-ins and entry hosts.

#include "Process/HttpCalls.h"
#include "Process/Process.h"

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ProcessTests {

/// Size of a fleet and its first port.
struct FleetShape {
    unsigned basePort = 0; ///< First of up to 100 consecutive ports.
    unsigned hosts = 3; ///< Entry hosts, assigned to the data centres round robin.
    unsigned dataCentres = 1; ///< 1 (imlil) or 2 (imlil and asni).
    unsigned upstreamsPerPool = 3; ///< In each data centre, for each of the pools desk and juniors.
    bool withWave = false; ///< Publishes budgets of 30% and a paused wave named "reboots" for both pools.
};

/// An executor stand-in.
struct FleetUpstream {
    std::string name;
    std::string address; ///< "ip:port".
    std::string pool;
    std::string rack;
    Process process;
};

/// An entry host.
struct FleetHost {
    std::string name;
    std::string dataCentre;
    unsigned port = 0; ///< For callers; those for peers and operators follow.
    Process process;

    /// URL of a path on the callers' port.
    std::string url(const std::string& path) const;
    /// "ip:port" for operators.
    std::string operatorAddress() const;
    std::string operatorUrl(const std::string& path) const;
};

/// Polls until the condition holds; false when it still doesn't after `bound`, which allows for a slow machine.
bool eventually(const std::function<bool()>&, std::chrono::seconds bound = std::chrono::seconds(45));

/// Starts all processes, publishes objects and waits until every entry host is ready; fails the test when that takes too long. The
/// destructor kills all processes and removes their files, unless MARIGOLD_KEEP_LOGS is set.
/// Services: lesson-booking in the pool desk, roster-reading in the pool juniors; team families, priority normal.
class Fleet {
public:
    explicit Fleet(FleetShape);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    std::vector<FleetHost>& hosts() { return m_hosts; }
    const std::vector<FleetHost>& hosts() const { return m_hosts; }
    std::vector<const FleetHost*> allHosts() const;
    /// The owner of a pool, which keeps its queue and slots, in the data centre of the first host.
    FleetHost& ownerOf(const std::string& pool);
    /// Throws std::out_of_range for an unknown name.
    FleetUpstream& upstream(const std::string& name);
    const FleetUpstream& upstream(const std::string& name) const;
    /// Starts the process of a host, also after it was killed; doesn't wait for it.
    void startHost(FleetHost&);
    bool ready(const FleetHost&) const;
    bool allReady() const;
    /// Revision of the configuration in force at a host; 0 when it doesn't answer.
    std::uint64_t revision(const FleetHost&) const;

    /// `mode` is one of the platform stand-in's: up, down, slow or late-after-effect.
    void setStoreFault(const std::string& mode) const;
    /// Sets a fault mode of the executor stand-ins, all of which must be running.
    void setRunFault(const std::string& mode) const;
    /// Publishes the host list with all upstreams live, except the one named, which is leaving.
    void publishHostList(const std::string& upstream) const;
    /// Incarnations of the upstreams in the host list, by name; a rebooting upstream isn't listed.
    std::map<std::string, std::uint64_t> listedIncarnations() const;
    /// Number of events with this message in the host's log.
    std::size_t logCount(const FleetHost&, const std::string& message) const;
    /// Pool and state of an upstream as an entry host reports them, for instance "desk draining"; empty when it doesn't know it.
    std::string poolAndStateOf(const FleetHost&, const std::string& upstream) const;

    /// Runs marigoldctl with all hosts as servers and returns its exit code; -1 when a signal ended it or it took too long.
    int ctl(std::vector<std::string> arguments) const;
    Process startCtl(std::vector<std::string> arguments) const;
    /// Output of all runs of marigoldctl so far.
    std::string ctlOutput() const;
    /// Writes an object set to a file and returns its path. `weight` is the team's, so that sets differ.
    std::string writeObjects(unsigned weight) const;

    /// Run counts by body hash, summed over all executors that answer.
    std::map<std::string, std::uint64_t> runs() const;
    std::map<std::string, std::uint64_t> runsOf(const FleetUpstream&) const;
    /// Number of tasks that an executor has started.
    std::uint64_t startCountOf(const FleetUpstream&) const;
    /// Hashes of the bodies that run now.
    std::multiset<std::string> runningOn(const FleetUpstream&) const;
    /// Number of tasks that run now on all executors.
    std::size_t runningTotal() const;

private:
    std::string maintenanceObjects() const;
    std::string file(const std::string& name) const { return m_directory + "/" + name; }
    std::string admin(const std::string& path) const;
    void writeSettings(const FleetHost&) const;
    void startExecutor(FleetUpstream&) const;

    FleetShape m_shape;
    std::string m_directory;
    Process m_platform;
    std::vector<FleetUpstream> m_upstreams;
    std::vector<FleetHost> m_hosts;
};

} // namespace ProcessTests
