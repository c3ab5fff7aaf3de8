/*
 * Single-slot mailbox between two threads.
 *
 * A newer item replaces an older one that was not taken.  Both sides use an
 * atomic exchange and never block.
 *
 *     nm_mailbox_t mailbox = {0};
 *     free_item(nm_mailbox_put(&mailbox, item));
 *     item = nm_mailbox_take(&mailbox);
 */
#ifndef NM_MAILBOX_H
#define NM_MAILBOX_H

#include <ck_pr.h>

typedef struct {
    void *item;
} nm_mailbox_t;

/* Returns the replaced item, which the caller frees, or NULL. */
static inline void *
nm_mailbox_put(nm_mailbox_t *mailbox, void *item)
{
    return ck_pr_fas_ptr(&mailbox->item, item);
}

/* Returns the newest item, or NULL if it has been taken already. */
static inline void *
nm_mailbox_take(nm_mailbox_t *mailbox)
{
    return ck_pr_fas_ptr(&mailbox->item, NULL);
}

#endif
