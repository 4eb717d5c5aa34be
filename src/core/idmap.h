/* idmap.h - hash map from (program id, number) to a pointer.

   Open addressing with linear probing.
   Needs: types.h.  */

#ifndef MQ_IDMAP_H
#define MQ_IDMAP_H

#include "types.h"

struct mq_idmap;

struct mq_idmap *mq_idmap_create (TALLOC_CTX *ctx);
void mq_idmap_destroy (struct mq_idmap *map);
/* NULL when absent.  */
void *mq_idmap_find (const struct mq_idmap *map, struct mq_id id,
                     uint32_t number);
/* Inserts or replaces; VALUE must not be NULL.  */
void mq_idmap_put (struct mq_idmap *map, struct mq_id id, uint32_t number,
                   void *value);
/* Returns the removed value, NULL when absent.  */
void *mq_idmap_remove (struct mq_idmap *map, struct mq_id id, uint32_t number);
size_t mq_idmap_count (const struct mq_idmap *map);
/* Iterates from *POSITION 0; NULL at the end.  The map must not be modified
   during the iteration.  */
void *mq_idmap_next (const struct mq_idmap *map, size_t *position);

#endif
