#pragma once

/// A small fleet of real processes: the platform's stand-in, executors and entry hosts on loopback addresses.

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
    unsigned basePort = 0; ///< The fleet uses up to 100 ports from here on.
    unsigned hosts = 3; ///< Entry hosts, dealt out to the data centres in turn.
    unsigned dataCentres = 1; ///< 1 or 2: imlil, asni.
    unsigned upstreamsPerPool = 3; ///< For each of the pools desk and juniors, in each data centre.
    bool withWave = false; ///< Publishes budgets of 30% and a paused wave over both pools, called reboots.
};

struct FleetUpstream {
    std::string name;
    std::string address;
    std::string pool;
    std::string rack;
    Process process;
};

struct FleetHost {
    std::string name;
    std::string dataCentre;
    unsigned port = 0;
    Process process;

    std::string url(const std::string& path) const;
    std::string operatorAddress() const;
    std::string operatorUrl(const std::string& path) const;
};

/// Waits until the condition holds, up to a generous bound; false when that passed.
bool eventually(const std::function<bool()>&, std::chrono::seconds bound = std::chrono::seconds(45));

/// Starts all processes, publishes objects and waits until every entry host is ready. The destructor ends them all.
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
    /// The first host's data centre's owner of a pool, whose queue and slots it keeps.
    FleetHost& ownerOf(const std::string& pool);
    FleetUpstream& upstream(const std::string& name);
    const FleetUpstream& upstream(const std::string& name) const;
    void startHost(FleetHost&);
    bool ready(const FleetHost&) const;
    bool allReady() const;
    std::uint64_t revision(const FleetHost&) const;

    void setStoreFault(const std::string& mode) const;
    /// Publishes the host list: everything live but the upstream named.
    void listLeaving(const std::string& upstream) const;
    /// Incarnations of the upstreams that the host list shows; one that reboots isn't there.
    std::map<std::string, std::uint64_t> listed() const;
    /// State of an upstream as an entry host says it: "pool state", for instance "desk draining".
    std::string placeOf(const FleetHost&, const std::string& upstream) const;

    /// Runs marigoldctl to its end; -1 when it had no exit code. All hosts are its servers.
    int ctl(std::vector<std::string> arguments) const;
    Process startCtl(std::vector<std::string> arguments) const;
    /// What marigoldctl has written so far.
    std::string ctlOutput() const;
    /// Writes an object set, whose teams have this weight, and returns its path.
    std::string writeObjects(unsigned weight) const;

    /// How often each body ran, by hash, over all executors that answer.
    std::map<std::string, std::uint64_t> runs() const;
    std::map<std::string, std::uint64_t> runsOf(const FleetUpstream&) const;
    std::uint64_t ranOf(const FleetUpstream&) const;
    /// Hashes of the bodies that run at one instant.
    std::multiset<std::string> runningOn(const FleetUpstream&) const;
    std::size_t runningInAll() const;

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
