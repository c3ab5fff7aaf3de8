/*
 * A host's path to an in-process store: it can be cut, and answers to commits
 * can be held back while watches go on.
 *
 *     fake_path_t path;
 *     host.kv = fake_path_init(&path, fake_kv_port(kv));
 *     path.cut = true;
 */
#ifndef FAKE_KV_PATH_H
#define FAKE_KV_PATH_H

#include <glib.h>

#include "../../src/kv.h"

typedef struct {
    nm_kv_t base;
    nm_kv_t *store;
    bool cut;
    bool holds_commits; /* their answers wait, while watches go on */
    GQueue held;        /* of calls */
} fake_path_t;

nm_kv_t *fake_path_init(fake_path_t *path, nm_kv_t *store);
/* Gives the answers that were held back. */
void fake_path_release(fake_path_t *path);

#endif
