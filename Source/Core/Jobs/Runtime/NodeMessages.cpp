#include "Jobs/Runtime/NodeMessages.h"

#include "Jobs/Model/ValueRanges.h"
#include "Messages/FlatCodec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Ports {

constexpr JobVerb lastValue(JobVerb) { return JobVerb::Cancel; }

} // namespace Ports

namespace Jobs {

template<typename V, MaybeConst<PoolCall> M>
void visitFields(V& v, M& m)
{
    v(m.call, m.pool, m.verb, m.job, m.queue, m.priority, m.maximumAttempts, m.stretchPermille, m.targetDuration, m.spec, m.queueHost, m.queuePrefix, m.configuration, m.askingPool, m.askingQueue);
}

template<typename V, MaybeConst<PoolCallAnswer> M>
void visitFields(V& v, M& m)
{
    v(m.call, m.outcome, m.state, m.backlog, m.retryAfter, m.reason);
}

template<typename V, MaybeConst<LoadCall> M>
void visitFields(V& v, M& m)
{
    v(m.call, m.pool, m.cordonedMachines, m.fence);
}

template<typename V, MaybeConst<WorkerLoad> M>
void visitFields(V& v, M& m)
{
    v(m.worker, m.machine, m.runs, m.lastingRuns, m.isCordoned, m.lasting);
}

template<typename V, MaybeConst<WorkerDemand> M>
void visitFields(V& v, M& m)
{
    v(m.label, m.rack, m.need, m.workers, m.milliCores, m.memoryMb);
}

template<typename V, MaybeConst<TierDemand> M>
void visitFields(V& v, M& m)
{
    v(m.milliCores, m.memoryMb, m.workers);
}

template<typename V, MaybeConst<PoolLoad> M>
void visitFields(V& v, M& m)
{
    v(m.pool, m.waitingMilliCores, m.lateMilliCores, m.busyMilliCores, m.lastingMilliCores, m.capacityMilliCores, m.waitingWork, m.demandedMemoryMb, m.demands, m.late, m.bounded, m.workers);
}

template<typename V, MaybeConst<LoadCallAnswer> M>
void visitFields(V& v, M& m)
{
    v(m.call, m.isOwner, m.fence, m.load);
}

namespace {

    bool isDuration(milliseconds it) { return it >= milliseconds(0) && it <= ValueRanges::maximumDuration; }
    bool isFence(Fence it) { return it <= static_cast<Fence>(ValueRanges::maximumSequence); }
    bool isTotal(std::uint64_t it) { return it <= ValueRanges::maximumTotal; }

    /// The job itself is checked by its pool's owner, which refuses it with a reason.
    bool isInRange(const PoolCall& it)
    {
        constexpr std::int64_t permille = 1000;
        return it.stretchPermille <= ValueRanges::maximumStretch * permille && isDuration(it.targetDuration) && it.configuration <= static_cast<std::uint64_t>(ValueRanges::maximumSequence);
    }

    bool isInRange(const PoolCallAnswer& it) { return isDuration(it.retryAfter); }

    bool isInRange(const LoadCall& it) { return isFence(it.fence); }

    bool isTotal(const Resources& it) { return isTotal(it.milliCores) && isTotal(it.memoryMb) && isTotal(it.accelerators); }
    bool isInRange(const WorkerDemand& it) { return isTotal(it.need) && isTotal(it.workers) && isTotal(it.milliCores) && isTotal(it.memoryMb); }

    bool isInRange(const std::vector<WorkerDemand>& demands)
    {
        return std::ranges::all_of(demands, [](const auto& it) { return isInRange(it); });
    }

    bool isInRange(const TierDemand& it) { return isTotal(it.milliCores) && isTotal(it.memoryMb) && isInRange(it.workers); }

    bool isInRange(const LoadCallAnswer& it)
    {
        const auto isWorkerInRange = [](const WorkerLoad& worker) { return isTotal(worker.lasting); };
        const auto& load = it.load;
        return isFence(it.fence) && isTotal(load.waitingMilliCores) && isTotal(load.lateMilliCores) && isTotal(load.busyMilliCores) && isTotal(load.lastingMilliCores) && isTotal(load.capacityMilliCores) && isTotal(load.demandedMemoryMb) && isInRange(load.demands) && isInRange(load.late) && isInRange(load.bounded) && std::ranges::all_of(load.workers, isWorkerInRange);
    }

    using Decoder = std::optional<NodeMessage> (*)(std::string_view);

    template<std::size_t index>
    std::optional<NodeMessage> decodeAs(std::string_view text)
    {
        std::size_t offset = 0;
        auto message = Messages::unpackFields<std::variant_alternative_t<index, NodeMessage>>(text, offset);
        if (!message || offset != text.size() || !isInRange(*message))
            return std::nullopt;
        return NodeMessage(std::in_place_index<index>, std::move(*message));
    }

    template<std::size_t... indexes>
    constexpr std::array<Decoder, sizeof...(indexes)> makeDecoders(std::index_sequence<indexes...>)
    {
        return { &decodeAs<indexes>... };
    }

    constexpr auto decoders = makeDecoders(std::make_index_sequence<std::variant_size_v<NodeMessage>> {});

} // namespace

std::string encodeNodeMessage(const NodeMessage& message)
{
    std::string frame(1, static_cast<char>(message.index()));
    std::visit([&frame](const auto& it) { Messages::packFields(frame, it); }, message);
    return frame;
}

std::optional<NodeMessage> decodeNodeMessage(std::string_view frame)
{
    if (frame.empty() || static_cast<unsigned char>(frame[0]) >= decoders.size())
        return std::nullopt;
    return decoders[static_cast<unsigned char>(frame[0])](frame.substr(1));
}

} // namespace Jobs
