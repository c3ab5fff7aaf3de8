/*
 * Fault soak: runs entry host processes against a stand-in of the users'
 * platform and injects overlapping faults, drawn from a seed.
 *
 *     soak --program build/nutmegentry --seed 7 --seconds 20
 *
 * Hosts are killed, stopped and paused, cut off or delayed, and are too small
 * for their work: their link to the store and the executors is narrow, or they
 * run for a part of the time only (--short: mainly these).  With --departures
 * most executors leave for good and others join, the ownership is lost again
 * and again meanwhile, and jobs must go on soon after that
 * (soak_departures.c).  With --recuts executors restart under their ids and
 * are cut off soon after that, while the ownership is lost (soak_recuts.c).
 * With --reborn beside --recuts or --restarts wall clocks of executors are set
 * while they restart, entries expire and owners that live on are replaced.
 *
 * With --fillers the jobs are a backlog of fillers, several times as many as
 * may run at full speed beside some serving tasks, while owners are lost and
 * executors restart.
 *
 * With --evacuations zones are evacuated and taken back, beside the other
 * faults (soak_evacuations.c).
 *
 * Callers submit, query and cancel jobs during the whole run.  Starts of tasks
 * are checked by lib_executor.h; soak_hosts.c and soak_callers.c check what
 * callers and the operating system see:
 *
 *     LOST   an accepted job is unknown, is reported as failed though no two
 *            executors crashed under a task nor its attempts ended, or as
 *            cancelled without a cancel, or does not end in the settle time;
 *            or tasks of an accepted long-running job, not failed with cause,
 *            do not run at the end
 *     LOST   with --departures or --fillers, an accepted job is idle
 *            (lib_executor.h) for longer than JOBS_RESUME_MS
 *            (soak_departures.c) in calm time, or with --fillers for longer
 *            than IDLE_MAX_MS after that
 *     LOST   a host that was told to stop has read a request whole and ends
 *            without a response to it ("request-dropped" in its log)
 *     MIXED  a job is reported as completed before all of its tasks are done
 *     CONFIG with --configs, a host refuses a queue with 404 that was added
 *            CONFIG_APPLY_MS before the request (soak_configs.c), or does not
 *            serve the newest version soon after the faults
 *     CRASH  a host process ends that the soak did not stop, or ends by a
 *            signal or an error after SIGTERM
 *     STOP   a host process does not end in its grace time after SIGTERM
 *
 * The last line of the output is "soak seed N: passed" or "soak seed N:
 * failed, first " with the first violation.  Exit status: 0 passed, 1 at
 * least one violation, 2 wrong usage or a port in use.
 */
#include "soak_state.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define EXECUTOR_CPU_MILLI 16000 /* executors of the smaller users */
#define CANCEL_GRACE_MS 4000 /* from the ack of a cancel to the last start */

/* Between two faults beside evacuations: the bound counts in calm time only.
 */
#define EVACUATION_FAULT_MIN_MS 2000
#define EVACUATION_FAULT_MAX_MS 16000

/*
 * The backlog of --fillers takes minutes to end: it is watched for this long
 * after the faults, longer than JOBS_RESUME_MS and any bound of idle time.
 */
#define FILLERS_WATCH_MS 20000

soak_options_t soak_options = {.hosts = 6,
                               .executors = 24,
                               .seconds = 20,
                               .settle_s = 45,
                               .base_port = 31000,
                               .seed = 1,
                               .jobs_per_s = 12,
                               .program = NULL};

soak_t soak;

void
soak_report_violation(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    platform_lock(soak.platform);
    executor_fleet_add_violation(platform_fleet(soak.platform),
                                 platform_now(soak.platform), "%s", text);
    platform_unlock(soak.platform);
    g_free(text);
}

nm_ms_t
soak_random_between(nm_ms_t min, nm_ms_t max)
{
    return min + nm_rng_below(&soak.rng, (uint32_t)(max - min + 1));
}

static bool
is_settled(void)
{
    for (guint i = 0; i < soak.jobs->len; i++) {
        const job_t *job = soak.jobs->pdata[i];
        if (!job->ended && !job->fills &&
            !(job->long_running && !job->wants_cancel && job->accepted_ms > 0))
        {
            return false;
        }
    }
    return true;
}

/* Counts tasks of accepted long-running jobs that no executor runs. */
static uint32_t
count_missing_runs(void)
{
    uint32_t missing = 0;
    platform_lock(soak.platform);
    executor_fleet_t *fleet = platform_fleet(soak.platform);
    for (guint i = 0; i < soak.jobs->len; i++) {
        const job_t *job = soak.jobs->pdata[i];
        if (!job->long_running || job->wants_cancel || job->failed ||
            job->accepted_ms == 0)
        {
            continue;
        }
        uint32_t running = 0;
        for (gint index = 0; index < soak_options.executors; index++) {
            const GArray *runs = executor_at(fleet, (uint32_t)index)->runs;
            for (guint run = 0; run < runs->len; run++) {
                running += g_str_has_prefix(
                    g_array_index(runs, executor_run_t, run).task, job->id);
            }
        }
        missing += job->tasks - MIN(running, job->tasks);
    }
    platform_unlock(soak.platform);
    return missing;
}

static bool
parse_options(int argc, char **argv)
{
    GOptionEntry entries[] = {
        {"program", 0, 0, G_OPTION_ARG_FILENAME, &soak_options.program,
         "The nutmegentry to run", "PATH"},
        {"seed", 0, 0, G_OPTION_ARG_INT64, &soak_options.seed,
         "Seed of all random draws", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &soak_options.seconds,
         "Duration of the faults", "S"},
        {"settle", 0, 0, G_OPTION_ARG_INT, &soak_options.settle_s,
         "Time limit for accepted jobs to end after the last fault", "S"},
        {"hosts", 0, 0, G_OPTION_ARG_INT, &soak_options.hosts,
         "Number of entry hosts", "N"},
        {"executors", 0, 0, G_OPTION_ARG_INT, &soak_options.executors,
         "Number of executors", "N"},
        {"jobs", 0, 0, G_OPTION_ARG_DOUBLE, &soak_options.jobs_per_s,
         "Submitted jobs per second", "N"},
        {"base-port", 0, 0, G_OPTION_ARG_INT, &soak_options.base_port,
         "First of 500 consecutive ports", "PORT"},
        {"folder", 0, 0, G_OPTION_ARG_FILENAME, &soak_options.folder,
         "Folder for settings, logs and events", "PATH"},
        {"forget", 0, 0, G_OPTION_ARG_NONE, &soak_options.drops_jobs,
         "Let the store drop jobs: the run must fail", NULL},
        {"deadly", 0, 0, G_OPTION_ARG_NONE, &soak_options.deadly,
         "Submit jobs that crash each executor that starts them", NULL},
        {"cuts", 0, 0, G_OPTION_ARG_NONE, &soak_options.cuts,
         "Inject mainly cuts of executors, with longer tasks", NULL},
        {"short", 0, 0, G_OPTION_ARG_NONE, &soak_options.shortages,
         "Inject mainly narrow links and hosts short of processor, with more "
         "tasks of more bytes",
         NULL},
        {"restarts", 0, 0, G_OPTION_ARG_NONE, &soak_options.restarts,
         "Restart executors under their ids, with late orders, beside the "
         "other faults",
         NULL},
        {"departures", 0, 0, G_OPTION_ARG_NONE, &soak_options.departures,
         "Let most executors leave for good, others with new ids join, and "
         "elections follow in series",
         NULL},
        {"configs", 0, 0, G_OPTION_ARG_NONE, &soak_options.configs,
         "Change a large configuration in series, with faults that make hosts "
         "hear of it late",
         NULL},
        {"recuts", 0, 0, G_OPTION_ARG_NONE, &soak_options.recuts,
         "Restart executors under their ids in series and cut them off soon "
         "after, while owners fall",
         NULL},
        {"reborn", 0, 0, G_OPTION_ARG_NONE, &soak_options.reborn,
         "With --recuts or --restarts: let wall clocks of executors differ, "
         "entries expire, and owners be stopped, frozen or revoked",
         NULL},
        {"evacuations", 0, 0, G_OPTION_ARG_NONE, &soak_options.evacuations,
         "Evacuate zones and take them back, beside the other faults", NULL},
        {"fillers", 0, 0, G_OPTION_ARG_NONE, &soak_options.fillers,
         "Submit more jobs of fillers than may run at full speed, beside "
         "serving tasks",
         NULL},
        {"calm", 0, 0, G_OPTION_ARG_NONE, &soak_options.no_faults,
         "Inject no faults", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new("- fault soak");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed || !soak_options.program || soak_options.hosts < 1 ||
        soak_options.hosts > HOSTS_MAX || soak_options.executors < 1 ||
        soak_options.executors > EXECUTORS_MAX)
    {
        fprintf(stderr, "soak: %s\n",
                error ? error->message
                      : "needs --program, --hosts of 1 to 48, --executors of "
                        "1 to 4096");
        return false;
    }
    if (!soak_options.folder) {
        soak_options.folder = g_dir_make_tmp("nutmeg-soak-XXXXXX", NULL);
    }
    return soak_options.folder != NULL;
}

static void
start_all(void)
{
    nm_rng_init(&soak.rng, (uint64_t)soak_options.seed);
    nm_rng_init(&soak.route_rng, (uint64_t)soak_options.seed + 4);
    nm_rng_init(&soak.departure_rng, (uint64_t)soak_options.seed + 5);
    nm_rng_init(&soak.recut_rng, (uint64_t)soak_options.seed + 6);
    nm_rng_init(&soak.reborn_rng, (uint64_t)soak_options.seed + 8);
    soak.jobs = g_ptr_array_new_with_free_func(g_free);
    curl_global_init(CURL_GLOBAL_ALL);
    soak.multi = curl_multi_init();
    uint16_t port = (uint16_t)soak_options.base_port;
    char *event_log_path = g_strdup_printf("%s/events", soak_options.folder);
    soak.platform = platform_new(&(platform_desc_t){
        .port = port,
        .executor_port_offset = EXECUTOR_PATHS_PORT - STORE_PATHS_PORT,
        .fleet = {.executors = (uint32_t)soak_options.executors,
                  .cpu_milli = EXECUTOR_CPU_MILLI,
                  .seed = (uint64_t)soak_options.seed,
                  .attempts_max = ATTEMPTS_MAX,
                  .cancel_grace_ms = CANCEL_GRACE_MS,
                  .clocks_differ = soak_options.reborn,
                  .event_log_path = event_log_path},
        .drops_jobs = soak_options.drops_jobs,
    });
    g_free(event_log_path);
    soak.proxy = proxy_new(port);
    platform_lock(soak.platform);
    soak_put_configuration();
    platform_unlock(soak.platform);
    for (gint i = 0; i < soak_options.hosts; i++) {
        soak_write_settings((uint32_t)i);
        soak_start_host((uint32_t)i);
    }
}

int
main(int argc, char **argv)
{
    if (!parse_options(argc, argv)) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    start_all();
    const nm_ms_t warmup_ms = 3000;
    /* platform_now() starts at 1000. */
    nm_ms_t faults_end_ms = 1000 + warmup_ms + soak_options.seconds * 1000;
    nm_ms_t end_ms = faults_end_ms + soak_options.settle_s * 1000;
    nm_ms_t now_ms = platform_now(soak.platform);
    nm_ms_t settled_ms = 0;
    while (now_ms < end_ms) {
        now_ms = platform_now(soak.platform);
        bool faults = now_ms > 1000 + warmup_ms && now_ms < faults_end_ms;
        if (faults && !soak_options.no_faults && !soak_options.departures &&
            !soak_options.recuts && now_ms >= soak.next_fault_ms)
        {
            soak_inject_fault(now_ms);
            soak.next_fault_ms =
                now_ms + (soak_options.cuts ? soak_random_between(5000, 15000)
                          : soak_options.evacuations
                              ? soak_random_between(EVACUATION_FAULT_MIN_MS,
                                                    EVACUATION_FAULT_MAX_MS)
                          : soak_options.shortages
                              ? soak_random_between(1000, 6000)
                              : soak_random_between(300, 2000));
        }
        soak_heal_faults(now_ms, !faults);
        if (faults) {
            soak_kill_owners(now_ms);
            soak_cut_executors(now_ms);
            soak_restart_executors(now_ms);
            soak_run_departures(now_ms);
            soak_run_recuts(now_ms);
        }
        soak_run_evacuations(now_ms, faults);
        soak_run_configs(now_ms, faults);
        bool served = soak_configs_are_served(faults_end_ms, now_ms);
        soak_check_idle_jobs(faults_end_ms, now_ms);
        soak_supervise_hosts(now_ms);
        soak_handle_responses(now_ms);
        soak_send_due_calls(now_ms, now_ms > 1000 + warmup_ms / 2 &&
                                        now_ms < faults_end_ms);
        bool settled = now_ms > faults_end_ms && is_settled() &&
                       count_missing_runs() == 0 && served &&
                       (!soak_options.fillers ||
                        now_ms > faults_end_ms + FILLERS_WATCH_MS);
        settled_ms = !settled ? 0 : settled_ms > 0 ? settled_ms : now_ms;
        if (settled && now_ms - settled_ms > 500) {
            break;
        }
        curl_multi_poll(soak.multi, NULL, 0, TICK_MS, NULL);
    }
    for (guint i = 0; i < soak.jobs->len; i++) {
        const job_t *job = soak.jobs->pdata[i];
        if (!job->ended && !job->long_running && !job->fills &&
            job->accepted_ms > 0) {
            soak_report_violation("LOST job %s was accepted and has not ended",
                                  job->id);
        }
    }
    uint32_t missing = count_missing_runs();
    if (missing > 0) {
        soak_report_violation(
            "LOST %u accepted long-running tasks are not running", missing);
    }
    soak_stop_hosts();
    soak_check_dropped_requests();
    platform_lock(soak.platform);
    executor_fleet_info_t info =
        executor_fleet_query_info(platform_fleet(soak.platform));
    platform_unlock(soak.platform);
    printf("soak seed %lld: hosts %d executors %d faults %u jobs %u starts %u "
           "ends %u repeats %u late %u kinds %u answers 200 %u 503 %u 504 %u "
           "none %u settled "
           "in %lld ms\n",
           (long long)soak_options.seed, soak_options.hosts,
           soak_options.executors, soak.faults, soak.jobs->len, info.starts,
           info.ends, info.repeats, info.late_starts, info.kind_changes,
           soak.status_counts[200], soak.status_counts[503],
           soak.status_counts[504], soak.status_counts[0],
           (long long)(now_ms - faults_end_ms));
    if (soak_options.configs) {
        printf("soak seed %lld: versions %lld probes 200 %u 404 %u 503 %u "
               "504 %u none %u\n",
               (long long)soak_options.seed, (long long)soak.config_version,
               soak.probe_counts[200], soak.probe_counts[404],
               soak.probe_counts[503], soak.probe_counts[504],
               soak.probe_counts[0]);
    }
    if (soak_options.evacuations) {
        printf("soak seed %lld: evacuations %u\n",
               (long long)soak_options.seed, soak.evacuations);
    }
    if (soak_options.fillers) {
        printf("soak seed %lld: idle in calm time for %lld ms at most, later "
               "for %lld ms, soak late at %lld ms\n",
               (long long)soak_options.seed, (long long)soak.longest_idle_ms,
               (long long)soak.longest_late_idle_ms,
               (long long)soak.delayed_ms);
    }
    if (soak_options.departures) {
        printf("soak seed %lld: departures %u owner losses %u hosts gone %u "
               "idle in calm time for %lld ms at most\n",
               (long long)soak_options.seed, info.departures,
               soak.owner_losses, soak.hosts_gone,
               (long long)soak.longest_idle_ms);
    }
    printf("soak seed %lld: %s%s%s, logs in %s\n",
           (long long)soak_options.seed,
           info.violations > 0 ? "failed, first " : "passed",
           info.first_violation, "", soak_options.folder);
    return info.violations > 0 ? 1 : 0;
}
