#include "Decision/Configuration/ConfigurationKeeper.h"

#include "Decision/Configuration/ConfigurationKeeperImpl.h"

#include <utility>

namespace Decision {

Common::Result<std::unique_ptr<ConfigurationKeeper>, DecisionError> ConfigurationKeeper::create(
    KeeperSettings settings, const ConfigurationValidator& validator, KeeperGuards guards)
{
    if (settings.self.empty() || settings.dataCentre.empty())
        return DecisionError("the configuration keeper needs a host name and a data centre");
    auto impl = std::make_unique<Impl>(std::move(settings), validator, guards);
    return std::unique_ptr<ConfigurationKeeper>(new ConfigurationKeeper(std::move(impl)));
}

ConfigurationKeeper::ConfigurationKeeper(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

ConfigurationKeeper::~ConfigurationKeeper() = default;

void ConfigurationKeeper::tick(Common::Instant now, const std::vector<Ports::HostId>& aliveMembers)
{
    m_impl->tick(now, aliveMembers);
}

void ConfigurationKeeper::handle(Common::Instant now, const PlatformReplied& event)
{
    m_impl->onReplied(now, event);
}

void ConfigurationKeeper::handle(Common::Instant now, const PlatformWatched& event)
{
    m_impl->onWatched(now, event);
}

void ConfigurationKeeper::handle(Common::Instant now, const HeartbeatReceived& event)
{
    m_impl->onHeartbeat(now, event);
}

void ConfigurationKeeper::handle(Common::Instant, const ConfigurationRequested& event)
{
    m_impl->onRequested(event);
}

void ConfigurationKeeper::handle(Common::Instant now, const ConfigurationOffered& event)
{
    m_impl->onOffered(now, event);
}

std::optional<Common::Instant> ConfigurationKeeper::nextDeadline() const
{
    return m_impl->nextDeadline();
}

std::vector<Action> ConfigurationKeeper::takeActions()
{
    return std::exchange(m_impl->actions, {});
}

std::vector<ConfigurationAdopted> ConfigurationKeeper::takeAdopted()
{
    return std::exchange(m_impl->adopted, {});
}

std::uint64_t ConfigurationKeeper::revision() const
{
    return m_impl->inForce.revision;
}

AcceptedChange ConfigurationKeeper::inForce() const
{
    return m_impl->inForce;
}

Ports::Bytes ConfigurationKeeper::document() const
{
    return m_impl->document;
}

std::uint64_t ConfigurationKeeper::highestKnown() const
{
    return m_impl->highestKnown();
}

bool ConfigurationKeeper::isReady(Common::Instant now) const
{
    return m_impl->isReady(now);
}

bool ConfigurationKeeper::isWatcher() const
{
    return m_impl->isWatcher;
}

const std::string& ConfigurationKeeper::alarm() const
{
    return m_impl->alarm;
}

std::vector<DataCentreInForce> ConfigurationKeeper::inForceReport(Common::Instant now) const
{
    return m_impl->report(now);
}

} // namespace Decision
