/*
 * With --evacuations: zones are evacuated and taken back, several at a time
 * and again within seconds, beside the other faults.
 *
 * A start in an evacuated zone breaks EVAC (lib_executor.h) only if the hosts
 * are in contact with the store: nothing that this soak does to a host, its
 * paths or the store has been in force for CONTACT_MS.
 */
#include "soak_state.h"

#include <stdio.h>

/* Zones of the executors, see lib_entries.c. */
#define ZONES 3
/* The bounds of the users' deployments that evacuate zones. */
#define CONTACT_MS 5000
/* Some shorter than the bound of an evacuation, some longer. */
#define EVACUATED_MIN_MS 500
#define EVACUATED_MAX_MS 18000
#define RESTORED_MIN_MS 200
#define RESTORED_MAX_MS 8000

static struct {
    nm_rng_t rng; /* apart, so that a seed draws the same faults */
    bool seeded;
    bool evacuated[ZONES];
    nm_ms_t change_at_ms[ZONES];
} evacuations;

static nm_ms_t
draw_between(nm_ms_t min, nm_ms_t max)
{
    return min + nm_rng_below(&evacuations.rng, (uint32_t)(max - min + 1));
}

static void
set_evacuated(uint32_t zone, bool evacuated, nm_ms_t now_ms)
{
    char key[32];
    snprintf(key, sizeof(key), "op/evacuate/z%u", zone);
    evacuations.evacuated[zone] = evacuated;
    platform_put(soak.platform, key, evacuated ? "{}" : NULL);
    executor_fleet_set_evacuated(platform_fleet(soak.platform), zone, ZONES,
                                 evacuated ? now_ms : 0);
    soak.evacuations += evacuated;
}

/* True while a fault may keep a host from hearing of an evacuation. */
static bool
is_disturbed(nm_ms_t now_ms)
{
    bool disturbed = now_ms < soak.store_heal_at_ms;
    for (gint i = 0; i < soak_options.hosts && !disturbed; i++) {
        const host_t *host = &soak.hosts[i];
        disturbed = host->pid == 0 || host->stop_sent_ms > 0 ||
                    host->resume_at_ms > 0 || host->path_heal_at_ms > 0 ||
                    host->link_heal_at_ms > 0 || now_ms < host->short_until_ms;
    }
    return disturbed;
}

void
soak_run_evacuations(nm_ms_t now_ms, bool changes)
{
    if (!soak_options.evacuations) {
        return;
    }
    if (!evacuations.seeded) {
        nm_rng_init(&evacuations.rng, (uint64_t)soak_options.seed + 9);
        evacuations.seeded = true;
    }
    platform_lock(soak.platform);
    if (is_disturbed(now_ms) || soak.reset_ms >= now_ms - TICK_MS) {
        executor_fleet_set_contact(platform_fleet(soak.platform),
                                   now_ms + CONTACT_MS);
    }
    for (uint32_t zone = 0; zone < ZONES; zone++) {
        bool evacuated = evacuations.evacuated[zone];
        if (!changes && evacuated) {
            set_evacuated(zone, false, now_ms);
        }
        else if (changes && now_ms >= evacuations.change_at_ms[zone]) {
            set_evacuated(zone, !evacuated, now_ms);
            evacuations.change_at_ms[zone] =
                now_ms +
                (evacuated ? draw_between(RESTORED_MIN_MS, RESTORED_MAX_MS)
                           : draw_between(EVACUATED_MIN_MS, EVACUATED_MAX_MS));
        }
    }
    platform_unlock(soak.platform);
}
