#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/executor_work_guard.hpp>

#include <cstddef>
#include <thread>
#include <vector>

namespace Guavalock
{

/// A fixed number of threads that run the handlers of one Asio io_context.
///
/// A thread without work blocks in the kernel. The destructor stops the threads and waits for them.
class WorkerPool
{
public:
    using Executor = boost::asio::io_context::executor_type;

    /// Starts the given number of workers; zero means one for each processor.
    explicit WorkerPool(std::size_t workers);
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    Executor executor();

    std::size_t size() const;

    /// Abandons handlers that have not run and waits for the workers to return.
    void stop();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<Executor> m_guard;
    std::vector<std::thread> m_threads;
};

} // namespace Guavalock
