/*
 * Settings of an entry host for jobs, read from a JSON document.
 *
 *     nm_entry_settings_t settings;
 *     char *fault = NULL;
 *     int rc = nm_entry_settings_load(&settings, path, &fault);
 */
#ifndef NM_ENTRY_SETTINGS_H
#define NM_ENTRY_SETTINGS_H

#include <nutmegdeck/base.h>

typedef struct {
    char name[NM_NAME_MAX];
    char zone[NM_NAME_MAX];
    char front_address[NM_NAME_MAX];   /* IP:PORT for callers */
    char ready_address[NM_NAME_MAX];   /* IP:PORT of the readiness check */
    char peer_address[NM_NAME_MAX];    /* tcp://IP:PORT for entry hosts */
    char store_address[NM_NAME_MAX];   /* IP:PORT of the key-value store */
    char metrics_address[NM_NAME_MAX]; /* IP:PORT for operators */
    char cloud_address[NM_NAME_MAX];   /* IP:PORT of the list of machines;
                                          empty: there is none */
    double cpu_share;                  /* in cores, up to 1024 */
    nm_ms_t grace_ms;                  /* grace_s, up to 3600 s */
    nm_ms_t config_apply_ms;           /* 500 ms to 1 hour; missing: 0 */
    nm_ms_t announce_interval_ms;      /* 1 ms to 1 hour; missing: 0 */
    bool looks_ahead;                  /* missing: false */
    nm_ms_t evacuation_ms;             /* 2500 ms to 1 hour; missing: 0 */
    double spread_factor;              /* 1 to 1000; missing: 0 */
    uint32_t memory_mb;                /* 32 to 1048576; missing: 0 */
    uint32_t max_fds;                  /* 500 to 1048576; missing: 0 */
} nm_entry_settings_t;

/*
 * Return NM_ERR_INVAL for a document that is malformed or has faults, and load
 * returns NM_ERR_IO for a file that cannot be read.  On failure, *fault lists
 * all errors found; the caller frees it with g_free.
 */
int nm_entry_settings_load(nm_entry_settings_t *settings, const char *path,
                           char **fault);
int nm_entry_settings_parse(nm_entry_settings_t *settings, const char *text,
                            char **fault);

#endif
