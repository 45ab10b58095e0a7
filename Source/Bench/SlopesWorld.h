#pragma once

/// Entry hosts of several data centres in virtual time: membership, configuration, assignments and the try for a duty of each, without
/// load, ticked as the kernel does. Counts what they send and ask.

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

/// Size of a world.
struct WorldSize {
    unsigned dataCentres = 1;
    unsigned members = 4; ///< Entry hosts for each data centre.
    unsigned pools = 8; ///< Each owned by one host of each data centre.
    unsigned upstreams = 80; ///< For each data centre.
};

/// Totals over all hosts.
struct Traffic {
    double heartbeats = 0;
    double heartbeatBytes = 0; ///< Of frames.
    double otherFrames = 0;
    double otherFrameBytes = 0;
    double reads = 0;
    double readBytes = 0; ///< Of keys and values in the replies.
    double writes = 0; ///< Transactions.
    double writtenBytes = 0; ///< Of keys and values put.
    double leaseCalls = 0;
    double watches = 0; ///< Set up.
};

/// One entry host's control cores.
struct WorldHost {
    std::string name;
    std::string dataCentre;
    std::unique_ptr<Decision::Membership> membership;
    std::unique_ptr<Decision::ConfigurationKeeper> keeper;
    std::unique_ptr<Decision::ConfigurationPublisher> publisher;
    std::unique_ptr<Kernel::AssignmentAgent> assignments;
    std::unique_ptr<Decision::DutyHolder> duty;
};

class World {
public:
    explicit World(const WorldSize&);

    void runFor(std::chrono::seconds);
    /// Counts afresh from now on.
    void resetTraffic() { m_traffic = {}; }
    const Traffic& traffic() const { return m_traffic; }
    std::size_t hosts() const { return m_hosts.size(); }
    /// Hands a document to the first host.
    void publish(std::uint64_t baseRevision, std::string document);
    /// Hosts that have the revision in force.
    std::size_t inForce(std::uint64_t revision) const;
    /// Hosts in the views of their data centres.
    std::size_t memberCount() const;
    /// Ends every host and starts it anew, all at once.
    void restartAll();

private:
    void addHost(unsigned dataCentre, unsigned member);
    void tick(std::size_t index);
    void pump(std::size_t index);
    template<typename Core>
    void call(std::size_t index, Core WorldHost::*member, const Decision::PlatformAction&);
    template<typename Core, typename Event>
    void deliver(std::size_t index, std::uint64_t generation, Core WorldHost::*member, const Event&);
    void send(std::size_t from, const Decision::PeerSend&);
    void arrived(std::size_t to, const std::string& from, const Messages::PeerMessage&);
    void count(const Decision::PlatformAction&);

    WorldSize m_size;
    Testing::Simulation m_simulation { 1 };
    Testing::FakeStore m_store { m_simulation };
    std::vector<WorldHost> m_hosts;
    std::map<std::string, std::size_t> m_byName;
    std::uint64_t m_generation = 0; ///< Goes up when all hosts restart.
    Traffic m_traffic;
};

} // namespace Slopes
