/* idmap.h - hash map from a program id, and a number in it, to a pointer.

   Open addressing with linear probing; pure.
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
/* Replaces what is there; VALUE is never NULL.  */
void mq_idmap_put (struct mq_idmap *map, struct mq_id id, uint32_t number,
                   void *value);
/* Returns what was there, NULL when absent.  */
void *mq_idmap_remove (struct mq_idmap *map, struct mq_id id, uint32_t number);
size_t mq_idmap_count (const struct mq_idmap *map);
/* Steps through the map: start with *POSITION 0; NULL at the end.  The map
   must not be changed meanwhile.  */
void *mq_idmap_next (const struct mq_idmap *map, size_t *position);

#endif
