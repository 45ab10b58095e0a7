#include "Kernel/SettingsFields.h"

#include "Common/SocketAddress.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <sstream>
#include <string_view>

namespace Kernel {

namespace {

    constexpr std::size_t maximumNameLength = 63;
    constexpr std::size_t minimumTokenLength = 8;
    constexpr unsigned maximumThreads = 256;
    constexpr double maximumBytes = 64 << 20;
    constexpr double maximumWeight = 1000;
    constexpr double millisecondsInDay = 24.0 * 3600 * 1000;

    bool isNameCharacter(char c)
    {
        return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maximumNameLength && std::ranges::all_of(text, isNameCharacter);
    }

    bool isPort(std::string_view text)
    {
        return Common::parsePort(text).value_or(0) != 0;
    }

    bool isAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos || !isPort(std::string_view(text).substr(colon + 1)))
            return false;
        std::array<unsigned char, sizeof(in_addr)> buf {};
        return inet_pton(AF_INET, text.substr(0, colon).c_str(), buf.data()) == 1;
    }

    bool isToken(const std::string& text)
    {
        const auto printable = [](char c) { return c > ' ' && c <= '~'; };
        return text.size() >= minimumTokenLength && std::ranges::all_of(text, printable);
    }

    bool isPlatformKind(const std::string& text)
    {
        return text == "etcd" || text == "embedded" || text == "users";
    }

    bool isLogLevel(const std::string& text)
    {
        static constexpr std::array<std::string_view, 5> s_names { "trace", "debug", "info", "warn", "error" };
        return std::ranges::find(s_names, text) != s_names.end();
    }

    bool isAnyText(const std::string&)
    {
        return true;
    }

    const TextForm name { "1 to 63 letters, digits, '-', '_' or '.'", isName };
    const TextForm address { "an IPv4 address and port, for example \"127.0.0.1:8080\"", isAddress };
    const TextForm token { "8 or more printable characters without spaces", isToken };
    const TextForm platformKind { "\"etcd\", \"embedded\" or \"users\"", isPlatformKind };
    const TextForm logLevel { "\"trace\", \"debug\", \"info\", \"warn\" or \"error\"", isLogLevel };
    const TextForm path { "any text", isAnyText };

    const NumberRange threads { 1, maximumThreads };
    const NumberRange bytes { 1, maximumBytes };
    const NumberRange milliseconds { 1, millisecondsInDay };
    const NumberRange millisecondsOrZero { 0, millisecondsInDay };
    const NumberRange weight { 0, maximumWeight };
    const NumberRange seconds { 0, 24.0 * 3600 };
    const NumberRange factor { 1, 1000 };
    const NumberRange share { 0.001, 1024 };
    const NumberRange bufferedEvents { 0, 1 << 20 };
    const FieldRule flag {};

} // namespace

template<>
const Fields<Settings>& fieldsOf()
{
    static const Fields<Settings> s_fields {
        { "host", &Settings::host, &name, Presence::Required, "Name of this entry host, unique in the fleet." },
        { "dataCentre", &Settings::dataCentre, &name, Presence::Required, "Data centre this host is in." },
        { "region", &Settings::region, &name, Presence::Required, "Region the data centre is in." },
        { "workerThreads", &Settings::workerThreads, threads, Presence::Optional, "Worker threads for control messages between hosts and replies of the platform." },
    };
    return s_fields;
}

template<>
const Fields<CallersSection>& fieldsOf()
{
    static const Fields<CallersSection> s_fields {
        { "listen", &CallersSection::listen, &address, Presence::Required, "Address of the listener for callers." },
        { "threads", &CallersSection::threads, threads, Presence::Optional, "Threads that serve callers." },
        { "readTimeoutMilliseconds", &CallersSection::readTimeout, milliseconds, Presence::Optional, "Longest wait for the rest of an incomplete header or body." },
    };
    return s_fields;
}

template<>
const Fields<PeersSection>& fieldsOf()
{
    static const Fields<PeersSection> s_fields {
        { "listen", &PeersSection::listen, &address, Presence::Required, "Address of the listener for other entry hosts." },
        { "reconnectDelayMilliseconds", &PeersSection::reconnectDelay, milliseconds, Presence::Optional, "Delay before a broken connection to a peer is opened again." },
    };
    return s_fields;
}

template<>
const Fields<PeerSeed>& fieldsOf()
{
    static const Fields<PeerSeed> s_fields {
        { "host", &PeerSeed::host, &name, Presence::Required, "Name of an entry host to contact at start." },
        { "address", &PeerSeed::address, &address, Presence::Required, "Address of its listener for peers." },
        { "dataCentre", &PeerSeed::dataCentre, &name, Presence::Required, "Its data centre." },
    };
    return s_fields;
}

template<>
const Fields<OperatorsSection>& fieldsOf()
{
    static const Fields<OperatorsSection> s_fields {
        { "listen", &OperatorsSection::listen, &address, Presence::Required, "Address of the listener for the administration API, health checks and metrics." },
    };
    return s_fields;
}

template<>
const Fields<OperatorAccount>& fieldsOf()
{
    static const Fields<OperatorAccount> s_fields {
        { "name", &OperatorAccount::name, &name, Presence::Required, "Name of an operator, as the audit trail shows it." },
        { "token", &OperatorAccount::token, &token, Presence::Required, "Bearer token of the operator." },
    };
    return s_fields;
}

template<>
const Fields<PlatformSection>& fieldsOf()
{
    static const Fields<PlatformSection> s_fields {
        { "kind", &PlatformSection::kind, &platformKind, Presence::Optional, "Adapter for the platform." },
        { "keyValueAddress", &PlatformSection::keyValueAddress, &address, Presence::Optional, "Address of the key-value service; required for \"etcd\"." },
        { "hostListAddress", &PlatformSection::hostListAddress, &address, Presence::Optional, "Address of the host list; required for \"etcd\"." },
        { "callTimeoutMilliseconds", &PlatformSection::callTimeout, milliseconds, Presence::Optional, "Timeout of a call to the platform." },
    };
    return s_fields;
}

template<>
const Fields<AdaptersSection>& fieldsOf()
{
    static const Fields<AdaptersSection> s_fields {
        { "callers", &AdaptersSection::callers, &name, Presence::Optional, "Adapter that serves callers." },
        { "upstreams", &AdaptersSection::upstreams, &name, Presence::Optional, "Adapter that calls upstreams." },
        { "peers", &AdaptersSection::peers, &name, Presence::Optional, "Adapter for connections between entry hosts." },
        { "operators", &AdaptersSection::operators, &name, Presence::Optional, "Adapter that serves operators." },
    };
    return s_fields;
}

template<>
const Fields<LimitsSection>& fieldsOf()
{
    using L = LimitsSection;
    constexpr auto optional = Presence::Optional;
    static const Fields<LimitsSection> s_fields {
        { "maximumBodyBytes", &L::maximumBodyBytes, bytes, optional, "Largest request body accepted from a caller." },
        { "maximumAnswerBytes", &L::maximumAnswerBytes, bytes, optional, "Largest answer accepted from an upstream." },
        { "defaultDeadlineMilliseconds", &L::defaultDeadline, milliseconds, optional, "Deadline of a request that sets none." },
        { "connectTimeoutMilliseconds", &L::connectTimeout, milliseconds, optional, "Timeout for connecting to an upstream." },
        { "claimRetentionMilliseconds", &L::claimRetention, milliseconds, optional, "How long the record of a finished non-idempotent request is kept." },
        { "clockSkewAllowanceMilliseconds", &L::clockSkewAllowance, millisecondsOrZero, optional, "Largest difference between the wall clocks of two hosts." },
        { "heartbeatMilliseconds", &L::heartbeat, milliseconds, optional, "Interval between heartbeats to peers." },
        { "suspectAfterMilliseconds", &L::suspectAfter, milliseconds, optional, "Time without heartbeats after which a peer is suspected; at least twice the heartbeat interval." },
        { "viewLeaseMilliseconds", &L::viewLease, milliseconds, optional, "Time to live of a view lease; longer than suspectAfterMilliseconds." },
        { "drainLimitMilliseconds", &L::drainLimit, milliseconds, optional, "Longest wait for requests in flight at a planned stop." },
    };
    return s_fields;
}

template<>
const Fields<WeightsSection>& fieldsOf()
{
    static const Fields<WeightsSection> s_fields {
        { "bufferCost", &WeightsSection::bufferCost, weight, Presence::Optional, "Weight of spare capacity held for peaks." },
        { "rollOutTime", &WeightsSection::rollOutTime, weight, Presence::Optional, "Weight of the time a wave or change takes." },
        { "moves", &WeightsSection::moves, weight, Presence::Optional, "Weight of moving hosts between pools." },
    };
    return s_fields;
}

template<>
const Fields<JobsSection>& fieldsOf()
{
    using J = JobsSection;
    constexpr auto optional = Presence::Optional;
    static const Fields<JobsSection> s_fields {
        { "platform", &J::platform, &name, optional, "Platform that runs the jobs, for example \"users\"; omit it to run without jobs." },
        { "readyListen", &J::readyListen, &address, optional, "Address of the listener for the balancer's readiness check." },
        { "machineAddress", &J::machineAddress, &address, optional, "Address of the platform's machine service." },
        { "adviceAddress", &J::adviceAddress, &address, optional, "Address of the service that reports which workers may run a queue's steps." },
        { "workerLeaseMilliseconds", &J::workerLease, milliseconds, optional, "Longest lease that workers grant." },
        { "stateRetentionMilliseconds", &J::stateRetention, milliseconds, optional, "Shortest time for which a job's final state can be queried." },
        { "holderSilenceMilliseconds", &J::holderSilence, milliseconds, optional, "Pause between the orders of two successive duty holders for one machine." },
        { "stopGraceMilliseconds", &J::stopGrace, milliseconds, optional, "Time between SIGTERM and SIGKILL at a stop." },
        { "moveSeconds", &J::moveSeconds, seconds, optional, "Time that a machine takes to move to another pool." },
        { "maintenanceSeconds", &J::maintenanceSeconds, seconds, optional, "Time that a machine's maintenance takes." },
        { "remoteFactor", &J::remoteFactor, factor, optional, "Run time of a task away from its data, as a multiple of its run time next to it." },
        { "processorShare", &J::processorShare, share, optional, "Processor cores of this host, possibly a fraction; hosts with more take duties first." },
        { "movesMachines", &J::movesMachines, flag, optional, "Whether machines may be moved between pools." },
    };
    return s_fields;
}

template<>
const Fields<LoggingSection>& fieldsOf()
{
    static const Fields<LoggingSection> s_fields {
        { "level", &LoggingSection::level, &logLevel, Presence::Optional, "Lowest severity that is logged." },
        { "file", &LoggingSection::file, &path, Presence::Optional, "File to append logs to; empty for the console." },
        { "json", &LoggingSection::json, flag, Presence::Optional, "One JSON object per line; false for plain text." },
        { "standardOutput", &LoggingSection::standardOutput, flag, Presence::Optional, "Console logs go to standard output instead of standard error." },
        { "bufferedEvents", &LoggingSection::bufferedEvents, bufferedEvents, Presence::Optional, "Job events that may wait for a background writer; 0 writes each one directly." },
    };
    return s_fields;
}

std::string acceptedText(const FieldRule& rule, bool isInteger)
{
    if (const auto* form = std::get_if<const TextForm*>(&rule))
        return (*form)->accepted;
    if (const auto* range = std::get_if<NumberRange>(&rule)) {
        std::ostringstream stream;
        stream.precision(12);
        stream << (isInteger ? "a whole number from " : "a number from ") << range->minimum << " to " << range->maximum;
        return stream.str();
    }
    return "true or false";
}

} // namespace Kernel
