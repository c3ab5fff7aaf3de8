#include "lib_machines.h"

static void
end_listing(fake_machines_t *machines, nm_machines_done_fn done, void *user)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(nm_machine_t));
    for (guint i = 0; i < machines->living->len; i++) {
        nm_machine_t row = {.state = NM_MACHINE_UP};
        g_snprintf(row.machine, sizeof(row.machine), "m%u", i);
        nm_strcopy(row.worker, sizeof(row.worker), machines->living->pdata[i]);
        g_array_append_val(rows, row);
    }
    nm_machine_list_t list = {
        .rc = machines->rc,
        .machines = (const nm_machine_t *)rows->data,
        .count = machines->rc == NM_OK ? rows->len : 0,
        .pages = machines->pages,
    };
    done(user, &list);
    g_array_free(rows, TRUE);
}

static void
machines_list(nm_machine_port_t *port, nm_machines_done_fn done, void *user)
{
    fake_machines_t *machines = (fake_machines_t *)port;
    machines->calls++;
    if (machines->holds) {
        machines->done = done;
        machines->user = user;
        return;
    }
    end_listing(machines, done, user);
}

static const nm_machine_port_vtable_t machines_vtable = {machines_list};

void
fake_machines_init(fake_machines_t *machines)
{
    *machines = (fake_machines_t){
        .base = {&machines_vtable},
        .living = g_ptr_array_new_with_free_func(g_free),
        .pages = 1,
    };
}

void
fake_machines_finish(fake_machines_t *machines)
{
    g_ptr_array_free(machines->living, TRUE);
}

void
fake_machines_add(fake_machines_t *machines, const char *worker)
{
    g_ptr_array_add(machines->living, g_strdup(worker));
}

void
fake_machines_remove(fake_machines_t *machines, const char *worker)
{
    guint i;
    if (g_ptr_array_find_with_equal_func(machines->living, worker, g_str_equal,
                                         &i))
    {
        g_ptr_array_remove_index(machines->living, i);
    }
}

void
fake_machines_respond(fake_machines_t *machines)
{
    nm_machines_done_fn done = machines->done;
    machines->done = NULL;
    if (done) {
        end_listing(machines, done, machines->user);
    }
}
