#include "Kernel/WorkerPool.h"

namespace Guavalock
{

namespace
{

std::size_t workerCount(std::size_t requested)
{
    if (requested > 0) {
        return requested;
    }
    const std::size_t processors = std::thread::hardware_concurrency();
    return processors > 0 ? processors : 1;
}

} // namespace

WorkerPool::Context::Context(int threads)
    : boost::asio::io_context(threads)
{
}

void WorkerPool::Context::destroySuspended()
{
    shutdown();
}

WorkerPool::WorkerPool(std::size_t workers)
    : m_context(static_cast<int>(workerCount(workers)))
    , m_guard(m_context.get_executor())
{
    const std::size_t n = workerCount(workers);
    m_threads.reserve(n);
    for (std::size_t it = 0; it < n; ++it) {
        m_threads.emplace_back([this] { m_context.run(); });
    }
}

WorkerPool::~WorkerPool()
{
    stop();
}

WorkerPool::Executor WorkerPool::executor()
{
    return m_context.get_executor();
}

std::size_t WorkerPool::size() const
{
    return m_threads.size();
}

void WorkerPool::stop()
{
    m_guard.reset();
    m_context.stop();
    for (std::thread &it : m_threads) {
        if (it.joinable()) {
            it.join();
        }
    }
    m_context.destroySuspended();
}

} // namespace Guavalock
