#include <cstdio>
#include <string>

#include "support/admission_workloads.h"
#include "support/share_workload.h"

using namespace figspoke;
using namespace figspoke::test;

namespace {

constexpr int seed_count = 5;

/// Returns the mean over the seeds; infinite where one run is.
double mean_of(double (*workload)(const sim_settings&), policy::queue_discipline discipline,
               policy::deployment_profile profile, double slots) {
    double sum = 0;
    for (int seed = 1; seed <= seed_count; ++seed) {
        sim_settings settings;
        settings.admission = policy::default_admission_settings(profile);
        settings.admission.discipline = discipline;
        settings.slots = slots;
        settings.seed = static_cast<unsigned>(seed);
        sum += workload(settings);
    }
    return sum / seed_count;
}

void print_line(const std::string& name, double baseline, double value, const char* limit, const char* unit) {
    std::printf("measure=%s baseline=%.3f figspoke=%.3f limit=%s unit=%s\n", name.c_str(), baseline, value,
                limit, unit);
    std::fflush(stdout);
}

void measure_profile(policy::deployment_profile profile, double slots, const std::string& suffix) {
    using policy::queue_discipline;
    const auto line = [&](const char* name, double (*workload)(const sim_settings&), const char* limit,
                          const char* unit) {
        print_line(name + suffix, mean_of(workload, queue_discipline::fifo, profile, slots),
                   mean_of(workload, queue_discipline::fair, profile, slots), limit, unit);
    };
    line("urgent_p95_flood", urgent_p95_flood, "<=1.2", "ratio_to_unloaded");
    line("floor_kept_urgent_flood", floor_kept_urgent_flood, ">=0.95", "share_of_floor");
    line("small_caller_p95", small_caller_p95, "<=1.3", "ratio_to_alone");
    line("goodput_flood", goodput_flood, ">=0.9", "share_of_capacity");
    line("urgent_floor_flood", urgent_floor_flood, "none", "share_of_floor");
    line("goodput_batch_flood", goodput_batch_flood, "none", "share_of_capacity");
}

void measure_limit() {
    const auto figures = partitioned_limit(1);
    print_line("limit_overshoot", figures.overshoot_without_shares, figures.overshoot, "<=0",
               "seconds_of_limit");
    print_line("limit_used", figures.used_without_shares, figures.used, "none", "share_of_limit");
    print_line("limit_used_partition", figures.used_without_shares, figures.used_in_partition, "none",
               "share_of_limit");
}

} // namespace

int main() {
    measure_profile(policy::deployment_profile::low_latency, 14, "");
    measure_profile(policy::deployment_profile::dependable_drafts, 14, ".drafts");
    measure_profile(policy::deployment_profile::low_latency, 64, ".64_slots");
    measure_limit();
    return 0;
}
