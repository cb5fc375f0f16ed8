#pragma once

#include "Batching/BatchDependencies.h"
#include "Kernel/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

class BatchWorker;
struct SelectedTarget;

/// Frees results on the targets that hold them, several with one call. All members must be called on the strand of the dispatcher.
///
/// Results on targets that leave, want a pause or have no calls left for it are not freed, and expire.
class ResultFreer
{
public:
    struct Callbacks {
        std::function<std::shared_ptr<BatchWorker>(const SelectedTarget &)> worker; ///< Returns the state of a target, new if necessary.
        std::function<bool(const std::string &service)> hasQueuedPieces;
        std::function<void(const std::string &service)> freed; ///< Storage on a target of the service has become available.
    };

    ResultFreer(boost::asio::any_io_executor strand, BatchDependencies dependencies, Callbacks callbacks);

    void free(const std::vector<std::string> &handles);

private:
    /// Returns whether a call to free results may be sent to a target.
    bool mayFree(const BatchWorker &worker, Clock::TimePoint now) const;
    boost::asio::awaitable<void> sendCalls(std::shared_ptr<BatchWorker> worker);

    boost::asio::any_io_executor m_strand;
    BatchDependencies m_dependencies;
    Callbacks m_callbacks;
};

} // namespace Guavalock
