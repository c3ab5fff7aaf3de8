/*
 * Process settings of an entry host, from flags and environment variables.
 *
 * Each flag --some-name has a variable NUTMEGD_SOME_NAME; the flag takes
 * precedence.  The values are read once, at the start of the process.
 *
 *     nm_config_t config;
 *     GPtrArray *problems = NULL;
 *     int rc = nm_config_read(&config, argc, argv, &problems);
 *     g_ptr_array_free(problems, TRUE);
 *     nm_config_finish(&config);
 */
#ifndef NM_CONFIG_H
#define NM_CONFIG_H

#include <glib.h>

#include <nutmegdeck/base.h>

typedef struct {
    char id[NM_NAME_MAX];
    char datacentre[NM_NAME_MAX];
    char region[NM_NAME_MAX];
    char address[NM_NAME_MAX * 2]; /* tcp://IP:PORT of its peer socket */
    char ip[NM_NAME_MAX];
} nm_config_peer_t;

typedef struct {
    char *id;
    char *datacentre;
    char *region;
    char *address; /* IPv4 address for callers and peers */
    int caller_port;
    char *ops_address; /* IPv4 address for operators */
    int ops_port;
    int peer_port;
    char *store;       /* memory: or http://IP:PORT */
    char *hosts;       /* http://... or file:PATH */
    char **peer_specs; /* values of --peer, not parsed */
    char *peer_key_file;
    char *log_level;
    int threads;
    int claim_interval_ms; /* minimum between commits of claims */
    int drain_ms;          /* time limit of a graceful shutdown */
    int memory_mb;         /* of the machine; 0: no limit */
    int max_fds;           /* descriptors of the process; 0: no limit */
    bool show_version;
    nm_config_peer_t *peers;
    uint32_t peer_count;
    char *peer_public_key;
    char *peer_secret_key;
} nm_config_t;

/*
 * Reads and checks flags and variables.  Returns NM_ERR_INVAL if a value is
 * missing or invalid.  *problems is set in any case: one message for each
 * problem found; the caller frees the array.  --help prints the usage and
 * ends the process with status 0.
 */
int nm_config_read(nm_config_t *config, int argc, char **argv,
                   GPtrArray **problems);
void nm_config_finish(nm_config_t *config);

#endif
