#include "FakeWorkers.h"

#include <algorithm>
#include <utility>

using Ports::WorkerAnswer;
using Ports::WorkerRefusal;
using Ports::WorkerStatus;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds networkDelay { 1 };
constexpr milliseconds callTimeout { 700 };
constexpr milliseconds lateDelay { 3000 };
constexpr milliseconds connectInterval { 5 };

} // namespace

FakeWorkerPort::FakeWorkerPort(VirtualLoop& loop, std::map<std::string, std::shared_ptr<FakeWorker>>& workers, HostLoop* hostLoop)
    : m_loop(loop)
    , m_workers(workers)
    , m_hostLoop(hostLoop)
{
}

FakeWorker* FakeWorkerPort::findReachable(const Ports::WorkerTarget& target)
{
    const auto it = m_workers.find(target.worker);
    const bool isReachable = it != m_workers.end() && !it->second->isPartitioned && !it->second->isCrashed && it->second->entry.address == target.address;
    return isReachable ? it->second.get() : nullptr;
}

bool FakeWorkerPort::isRefused(const std::string& worker) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && !it->second->isPartitioned && it->second->isCrashed && it->second->closesConnections;
}

void FakeWorkerPort::carryOutLate(const Ports::WorkerTarget& target, milliseconds delay, std::function<void(FakeWorker&)> call)
{
    const auto known = m_workers.find(target.worker);
    const auto incarnation = known == m_workers.end() ? 0 : known->second->entry.incarnation;
    m_loop.after(delay, [this, target, incarnation, call = std::move(call)] {
        auto* it = findReachable(target);
        if (!it)
            return;
        callsToNextIncarnation += it->entry.incarnation == incarnation ? 0 : 1;
        call(*it);
    });
}

bool FakeWorkerPort::isMadeLate(WorkerCall kind, const Ports::WorkerTarget& target, milliseconds timeout, std::function<void(FakeWorker&)> call, const std::function<void()>& giveUp)
{
    const auto delay = lateness ? lateness(kind, target.worker) : std::nullopt;
    if (!delay)
        return false;
    carryOutLate(target, *delay, std::move(call));
    m_loop.after(timeout, [alive = m_isAlive, giveUp] { *alive ? giveUp() : void(); });
    return true;
}

void FakeWorkerPort::deliver(const Ports::WorkerTarget& target, milliseconds timeout, std::function<void(FakeWorker&)> call, std::function<void()> giveUp)
{
    if (auto* it = findReachable(target))
        call(*it);
    else if (opensConnections && timeout > connectInterval)
        m_loop.after(connectInterval, [this, target, timeout, call = std::move(call), giveUp = std::move(giveUp)]() mutable { deliver(target, timeout - connectInterval, std::move(call), std::move(giveUp)); });
    else
        m_loop.after(timeout, std::move(giveUp));
}

void FakeWorkerPort::retransmitStart(const Ports::StartOrder& order)
{
    constexpr milliseconds retransmission { 200 };
    m_loop.after(retransmission, [this, order] {
        if (auto* worker = findReachable(order.target))
            worker->start(order, [](const WorkerAnswer&) {});
        else
            retransmitStart(order);
    });
}

void FakeWorkerPort::start(const Ports::StartOrder& order, Ports::WorkerCallback callback)
{
    callback = deferWhilePaused(m_hostLoop, std::move(callback));
    if (callsToRefuse > 0) {
        --callsToRefuse;
        m_loop.after(networkDelay, [alive = m_isAlive, callback] { *alive ? callback({ WorkerStatus::Unhealthy, WorkerRefusal::None, {} }) : void(); });
        return;
    }
    if (startsToLose > 0) {
        --startsToLose;
        delayedWorker = order.target.worker;
        m_loop.after(callTimeout, [alive = m_isAlive, callback] { *alive ? callback({}) : void(); });
        return;
    }
    const auto unanswered = [order](FakeWorker& it) { it.start(order, [](const WorkerAnswer&) {}); };
    const auto timeOut = [callback] { callback({}); };
    if (isMadeLate(WorkerCall::Start, order.target, callTimeout, unanswered, timeOut))
        return;
    const bool isDelayed = startsToDelay > 0;
    const bool isLost = !isDelayed && startAnswersToLose > 0;
    startsToDelay -= isDelayed ? 1 : 0;
    if (isDelayed)
        delayedWorker = order.target.worker;
    startAnswersToLose -= isLost ? 1 : 0;
    m_loop.after(isDelayed ? lateDelay : networkDelay, [this, alive = m_isAlive, isDelayed, isLost, order, callback] {
        auto* worker = findReachable(order.target);
        const auto carryOut = [this, alive, order, callback](FakeWorker& it) { it.start(order, [this, alive, callback](const WorkerAnswer& answer) { m_loop.after(networkDelay, [alive, callback, answer] { *alive ? callback(answer) : void(); }); }); };
        if (worker && (isDelayed || isLost))
            worker->start(order, [](const WorkerAnswer&) {});
        else if (!worker && isRefused(order.target.worker))
            callback({ WorkerStatus::NotSent, WorkerRefusal::None, {} });
        else if (!isDelayed && !isLost)
            deliver(order.target, callTimeout, carryOut, [alive, callback] { *alive ? callback({}) : void(); });
        if (!worker && retransmitsStarts)
            retransmitStart(order);
    });
    if (isDelayed || isLost)
        m_loop.after(callTimeout, [alive = m_isAlive, callback] { *alive ? callback({}) : void(); });
}

void FakeWorkerPort::stop(const Ports::StopOrder& order, Ports::WorkerCallback callback)
{
    callback = deferWhilePaused(m_hostLoop, std::move(callback));
    const auto unanswered = [order](FakeWorker& it) { it.stop(order, [](const WorkerAnswer&) {}); };
    const auto timeOut = [callback] { callback({}); };
    if (isMadeLate(WorkerCall::Stop, order.target, callTimeout, unanswered, timeOut))
        return;
    if (stopsToDelay > 0) {
        --stopsToDelay;
        carryOutLate(order.target, lateDelay, unanswered);
        m_loop.after(callTimeout, [alive = m_isAlive, callback] { *alive ? callback({}) : void(); });
        return;
    }
    m_loop.after(networkDelay, [this, alive = m_isAlive, order, callback] {
        const auto giveUp = [alive, callback] { *alive ? callback({}) : void(); };
        const auto carryOut = [this, alive, order, callback](FakeWorker& it) { it.stop(order, [this, alive, callback](const WorkerAnswer& answer) { m_loop.after(networkDelay, [alive, callback, answer] { *alive ? callback(answer) : void(); }); }); };
        if (losesStops)
            m_loop.after(callTimeout, giveUp);
        else
            deliver(order.target, callTimeout, carryOut, giveUp);
    });
}

void FakeWorkerPort::throttle(const Ports::ThrottleOrder& order, Ports::WorkerCallback callback)
{
    callback = deferWhilePaused(m_hostLoop, std::move(callback));
    const auto unanswered = [order](FakeWorker& it) { it.throttle(order, [](const WorkerAnswer&) {}); };
    const auto timeOut = [callback] { callback({}); };
    if (isMadeLate(WorkerCall::Throttle, order.target, callTimeout, unanswered, timeOut))
        return;
    m_loop.after(networkDelay, [this, alive = m_isAlive, order, callback] {
        const auto giveUp = [alive, callback] { *alive ? callback({}) : void(); };
        const auto carryOut = [this, alive, order, callback](FakeWorker& it) { it.throttle(order, [this, alive, callback](const WorkerAnswer& answer) { m_loop.after(networkDelay, [alive, callback, answer] { *alive ? callback(answer) : void(); }); }); };
        deliver(order.target, callTimeout, carryOut, giveUp);
    });
}

void FakeWorkerPort::poll(const Ports::PollOrder& order, Ports::PollCallback callback)
{
    callback = deferWhilePaused(m_hostLoop, std::move(callback));
    ++polls[order.target.worker];
    const auto unanswered = [order](FakeWorker& it) { it.poll(order, [](const Ports::PollAnswer&) {}); };
    const auto timeOut = [callback] { callback({}); };
    if (isMadeLate(WorkerCall::Poll, order.target, order.wait + callTimeout, unanswered, timeOut))
        return;
    if (pollsToDelay > 0) {
        --pollsToDelay;
        carryOutLate(order.target, lateDelay, unanswered);
        m_loop.after(order.wait + callTimeout, [alive = m_isAlive, callback] { *alive ? callback({}) : void(); });
        return;
    }
    m_loop.after(networkDelay, [this, alive = m_isAlive, order, callback] {
        const auto answered = std::make_shared<bool>(false);
        if (isRefused(order.target.worker)) {
            m_loop.after(networkDelay, [alive, callback] { *alive ? callback({ { WorkerStatus::NotSent, WorkerRefusal::None, {} }, 0, {}, {} }) : void(); });
            return;
        }
        const auto carryOut = [this, alive, answered, order, callback](FakeWorker& worker) {
            worker.poll(order, [this, alive, answered, target = order.target, callback](const Ports::PollAnswer& answer) {
                m_loop.after(networkDelay, [this, alive, answered, target, callback, answer] {
                    const bool isClosed = answer.answer.status == WorkerStatus::NoAnswer;
                    if (*alive && !*answered && (isClosed || findReachable(target))) {
                        *answered = true;
                        callback(answer);
                    }
                });
            });
        };
        deliver(order.target, order.wait + callTimeout, carryOut, [] {});
        m_loop.after(order.wait + callTimeout, [alive, answered, callback] {
            if (*alive && !*answered) {
                *answered = true;
                callback({});
            }
        });
    });
}
