/* Host processes of the soak: their settings, signals, restarts and ends. */
#include "soak_state.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* A host process must have ended this long after its grace time. */
#define HOST_GRACE_SLACK_MS 1500
/* Far below the time-outs of orders and leases. */
#define SLICE_MS 100

static int
add_path(int port_offset)
{
    int port = soak_options.base_port + port_offset;
    int path = proxy_add(soak.proxy, (uint16_t)port);
    if (path < 0) {
        fprintf(stderr, "soak: cannot listen on port %d\n", port);
        exit(2);
    }
    return path;
}

/* With --departures one host, by the seed, wins each election while it runs.
 */
static bool
is_largest(uint32_t index)
{
    return soak_options.departures &&
           (gint64)index == soak_options.seed % soak_options.hosts;
}

/* Each other seed shows what hosts know without the list of machines. */
static bool
has_machine_list(void)
{
    return soak_options.departures && soak_options.seed % 2 == 1;
}

void
soak_write_settings(uint32_t index)
{
    host_t *host = &soak.hosts[index];
    int port = soak_options.base_port + 10 + (int)index * PORTS_PER_HOST;
    host->front_port = (uint16_t)port;
    host->settings =
        g_strdup_printf("%s/host-%u.json", soak_options.folder, index);
    char *cloud = has_machine_list()
                      ? g_strdup_printf("\"127.0.0.1:%d\"",
                                        soak_options.base_port +
                                            STORE_PATHS_PORT + (int)index)
                      : g_strdup("null");
    char *text = g_strdup_printf(
        "{\"name\":\"h%u\",\"zone\":\"z%u\",\"front_address\":"
        "\"127.0.0.1:%d\",\"ready_address\":\"127.0.0.1:%d\","
        "\"peer_address\":\"tcp://127.0.0.1:%d\",\"store_address\":"
        "\"127.0.0.1:%d\",\"cloud_address\":%s,\"metrics_address\":"
        "\"127.0.0.1:%d\",\"cpu_share\":%s,\"grace_s\":%d%s}",
        index, index % 3, port, port + 1, port + 2,
        soak_options.base_port + STORE_PATHS_PORT + (int)index, cloud,
        port + 3, is_largest(index) ? "1" : "0.5", HOST_GRACE_MS / 1000,
        soak_options.evacuations ? ",\"evacuation_ms\":5000" : "");
    g_file_set_contents(host->settings, text, -1, NULL);
    g_free(text);
    g_free(cloud);
    host->proxy_path = add_path(STORE_PATHS_PORT + (int)index);
    host->executor_path = add_path(EXECUTOR_PATHS_PORT + (int)index);
}

void
soak_start_host(uint32_t index)
{
    host_t *host = &soak.hosts[index];
    char *log = g_strdup_printf("%s/host-%u.log", soak_options.folder, index);
    host->pid = fork();
    if (host->pid == 0) {
        sigset_t empty;
        sigemptyset(&empty);
        sigprocmask(SIG_SETMASK, &empty, NULL);
        FILE *out = freopen(log, "a", stdout);
        FILE *err = freopen(log, "a", stderr);
        if (out && err) {
            execl(soak_options.program, soak_options.program, "--settings",
                  host->settings, (char *)NULL);
        }
        _exit(127);
    }
    host->stop_sent_ms = 0;
    host->kill_at_ms = 0;
    host->resume_at_ms = 0;
    host->slice_stopped = false;
    g_free(log);
}

void
soak_signal_host(host_t *host, int number)
{
    if (host->pid > 0) {
        kill(host->pid, number);
    }
}

/* Stops and continues a host that is short of processor, slice by slice. */
static void
run_slices(host_t *host, nm_ms_t now_ms)
{
    bool stopped_by_pause = host->resume_at_ms > 0;
    if (stopped_by_pause || now_ms < host->slice_end_at_ms) {
        return;
    }
    bool stops = now_ms < host->short_until_ms && !host->slice_stopped;
    if (stops || host->slice_stopped) {
        soak_signal_host(host, stops ? SIGSTOP : SIGCONT);
        host->slice_stopped = stops;
        host->slice_end_at_ms = now_ms + (stops ? SLICE_MS - host->slice_run_ms
                                                : host->slice_run_ms);
    }
}

void
soak_supervise_hosts(nm_ms_t now_ms)
{
    for (gint i = 0; i < soak_options.hosts; i++) {
        host_t *host = &soak.hosts[i];
        int status;
        if (host->pid > 0 && waitpid(host->pid, &status, WNOHANG) > 0) {
            host->pid = 0;
            bool told_to_stop = host->kill_at_ms > 0;
            host->kill_at_ms = 0;
            if (told_to_stop && status != 0) {
                soak_report_violation(
                    "CRASH host %d ended with wait status %d after SIGTERM", i,
                    status);
            }
            if (host->stop_sent_ms == 0) {
                soak_report_violation(
                    "CRASH host %d ended unexpectedly, wait status %d", i,
                    status);
                host->start_at_ms = now_ms;
            }
        }
        if (host->resume_at_ms > 0 && now_ms >= host->resume_at_ms) {
            soak_signal_host(host, SIGCONT);
            host->resume_at_ms = 0;
            host->slice_stopped = false;
        }
        run_slices(host, now_ms);
        if (host->kill_at_ms > 0 && now_ms >= host->kill_at_ms &&
            host->pid > 0) {
            soak_report_violation(
                "STOP host %d has not ended in its grace time after SIGTERM",
                i);
            soak_signal_host(host, SIGKILL);
            host->kill_at_ms = 0;
        }
        if (host->pid == 0 && now_ms >= host->start_at_ms) {
            soak_start_host((uint32_t)i);
        }
        if (host->path_heal_at_ms > 0 && now_ms >= host->path_heal_at_ms) {
            proxy_set(soak.proxy, host->proxy_path, PROXY_OPEN);
            host->path_heal_at_ms = 0;
        }
        if (host->link_heal_at_ms > 0 && now_ms >= host->link_heal_at_ms) {
            proxy_limit(soak.proxy, host->proxy_path, 0);
            proxy_limit(soak.proxy, host->executor_path, 0);
            host->link_heal_at_ms = 0;
        }
    }
}

void
soak_kill_host(host_t *host, nm_ms_t now_ms)
{
    soak_signal_host(host, SIGCONT);
    soak_signal_host(host, SIGKILL);
    host->stop_sent_ms = now_ms;
    host->kill_at_ms = 0;
    host->resume_at_ms = 0;
    host->start_at_ms = now_ms + soak_random_between(100, 2500);
}

void
soak_stop_host(host_t *host, nm_ms_t now_ms)
{
    soak_signal_host(host, SIGTERM);
    host->stop_sent_ms = now_ms;
    host->kill_at_ms = now_ms + HOST_GRACE_MS + HOST_GRACE_SLACK_MS;
    host->start_at_ms = now_ms + soak_random_between(100, 500);
}

void
soak_remove_host(host_t *host, nm_ms_t now_ms)
{
    soak_kill_host(host, now_ms);
    host->start_at_ms = G_MAXINT64;
    soak.hosts_gone++;
}

void
soak_check_dropped_requests(void)
{
    for (gint i = 0; i < soak_options.hosts; i++) {
        char *path = g_strdup_printf("%s/host-%d.log", soak_options.folder, i);
        char *text = NULL;
        if (g_file_get_contents(path, &text, NULL, NULL) &&
            strstr(text, "\"request-dropped\""))
        {
            soak_report_violation("LOST host %d ended without a response to a "
                                  "request that it had read",
                                  i);
        }
        g_free(text);
        g_free(path);
    }
}

void
soak_stop_hosts(void)
{
    for (gint i = 0; i < soak_options.hosts; i++) {
        soak.hosts[i].stop_sent_ms = 1;
        soak_signal_host(&soak.hosts[i], SIGCONT);
        soak_signal_host(&soak.hosts[i], SIGKILL);
        if (soak.hosts[i].pid > 0) {
            waitpid(soak.hosts[i].pid, NULL, 0);
        }
    }
}
