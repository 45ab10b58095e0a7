#pragma once

/// Simulation of the entry hosts of several data centres without load, in virtual time. Each host runs membership,
/// configuration, assignments and one duty, ticked at the interval of the kernel. Counts peer frames and store calls.

#include "Decision/Configuration/ConfigurationKeeper.h"
#include "Decision/Configuration/ConfigurationPublisher.h"
#include "Decision/Membership/Duty.h"
#include "Decision/Membership/Membership.h"
#include "Kernel/AssignmentAgent.h"
#include "Membership/FakeStore.h"
#include "Membership/Simulation.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Slopes {

/// Size of the simulated deployment.
struct WorldSize {
    unsigned dataCentres = 1;
    unsigned members = 4; ///< Entry hosts per data centre.
    unsigned pools = 8; ///< Each owned by one host per data centre.
    unsigned upstreams = 80; ///< Per data centre.
};

/// Totals over all hosts since the last reset. Bytes of frames and of store keys and values only, without framing by HTTP.
struct Traffic {
    double heartbeats = 0;
    double heartbeatBytes = 0;
    double otherFrames = 0; ///< Peer frames that are not heartbeats.
    double otherFrameBytes = 0;
    double reads = 0; ///< Range reads of the store.
    double readBytes = 0; ///< Of keys and values in the replies.
    double writes = 0; ///< Transactions.
    double writtenBytes = 0; ///< Of keys and values put.
    double leaseCalls = 0; ///< Grants, renewals and revocations of store leases.
    double watches = 0; ///< Store watches set up.
};

/// Control cores of one entry host.
struct WorldHost {
    std::string name;
    std::string dataCentre;
    std::unique_ptr<Decision::Membership> membership;
    std::unique_ptr<Decision::ConfigurationKeeper> keeper;
    std::unique_ptr<Decision::ConfigurationPublisher> publisher;
    std::unique_ptr<Kernel::AssignmentAgent> assignments;
    std::unique_ptr<Decision::DutyHolder> duty;
};

/// The simulated deployment. All hosts start within the first 50 ms; the same size has the same traffic in every run.
class World {
public:
    explicit World(const WorldSize&);

    /// Advances virtual time.
    void runFor(std::chrono::seconds);
    /// Sets all totals to zero.
    void resetTraffic() { m_traffic = {}; }
    const Traffic& traffic() const { return m_traffic; }
    std::size_t hostCount() const { return m_hosts.size(); }
    /// Publishes a document through the first host; takes effect as virtual time advances.
    void publish(std::uint64_t baseRevision, std::string document);
    /// Number of hosts that have the revision in force.
    std::size_t inForce(std::uint64_t revision) const;
    /// Number of hosts that are in the view of their data centre.
    std::size_t memberCount() const;
    /// Replaces all hosts at once by new incarnations, which know nothing of the old state.
    void restartAll();

private:
    void addHost(unsigned dataCentre, unsigned member);
    void tick(std::size_t index);
    void processActions(std::size_t index);
    template<typename Core>
    void call(std::size_t index, Core WorldHost::*member, const Decision::PlatformAction&);
    template<typename Core, typename Event>
    void handleEvent(std::size_t index, std::uint64_t generation, Core WorldHost::*member, const Event&);
    void send(std::size_t from, const Decision::PeerSend&);
    void handleMessage(std::size_t to, const std::string& from, const Messages::PeerMessage&);
    void countCall(const Decision::PlatformAction&);

    WorldSize m_size;
    Testing::Simulation m_simulation { 1 };
    Testing::FakeStore m_store { m_simulation };
    std::vector<WorldHost> m_hosts;
    std::map<std::string, std::size_t> m_byName;
    std::uint64_t m_generation = 0; ///< Incremented when all hosts restart; replies to calls of earlier generations are dropped.
    Traffic m_traffic;
};

} // namespace Slopes
