/* idmap.c - hash map from (program id, number) to a pointer.

   Needs: idmap.h.  */

#include "idmap.h"
#include <stdlib.h>
#include <string.h>

struct slot
{
  struct mq_id id;
  uint32_t number;
  void *value; /* NULL: empty */
};

struct mq_idmap
{
  struct slot *slots;
  size_t room; /* a power of two */
  size_t count;
};

enum
{
  FIRST_ROOM = 64
};

static size_t
home_of (const struct mq_idmap *map, struct mq_id id, uint32_t number)
{
  uint64_t hash = id.hi ^ (id.lo * 0x9e3779b97f4a7c15ULL);

  hash ^= (uint64_t)number * 0xc2b2ae3d27d4eb4fULL;
  hash ^= hash >> 29;
  hash *= 0xbf58476d1ce4e5b9ULL;
  hash ^= hash >> 32;
  return (size_t)hash & (map->room - 1);
}

static bool
slot_matches (const struct slot *slot, struct mq_id id, uint32_t number)
{
  return slot->id.hi == id.hi && slot->id.lo == id.lo
         && slot->number == number;
}

static void
allocate_slots (struct mq_idmap *map, size_t room)
{
  map->slots = talloc_zero_array (map, struct slot, room);
  if (map->slots == NULL)
    abort ();
  map->room = room;
}

struct mq_idmap *
mq_idmap_create (TALLOC_CTX *ctx)
{
  struct mq_idmap *map = talloc_zero (ctx, struct mq_idmap);

  if (map == NULL)
    abort ();
  allocate_slots (map, FIRST_ROOM);
  return map;
}

void
mq_idmap_destroy (struct mq_idmap *map)
{
  talloc_free (map);
}

static struct slot *
find_slot (const struct mq_idmap *map, struct mq_id id, uint32_t number)
{
  size_t i = home_of (map, id, number);

  while (map->slots[i].value != NULL
         && !slot_matches (&map->slots[i], id, number))
    i = (i + 1) & (map->room - 1);
  return &map->slots[i];
}

void *
mq_idmap_find (const struct mq_idmap *map, struct mq_id id, uint32_t number)
{
  return find_slot (map, id, number)->value;
}

static void
grow (struct mq_idmap *map)
{
  struct slot *old = map->slots;
  size_t old_room = map->room;

  allocate_slots (map, 2 * old_room);
  for (size_t i = 0; i < old_room; i++)
    if (old[i].value != NULL)
      *find_slot (map, old[i].id, old[i].number) = old[i];
  talloc_free (old);
}

void
mq_idmap_put (struct mq_idmap *map, struct mq_id id, uint32_t number,
              void *value)
{
  struct slot *slot;

  if (4 * (map->count + 1) > 3 * map->room)
    grow (map);
  slot = find_slot (map, id, number);
  if (slot->value == NULL)
    map->count++;
  slot->id = id;
  slot->number = number;
  slot->value = value;
}

/* Fills the empty slot at GAP by moving back entries that probed past it.  */
static void
close_gap (struct mq_idmap *map, size_t gap)
{
  size_t mask = map->room - 1;
  size_t i = gap;

  for (;;)
    {
      size_t home;

      i = (i + 1) & mask;
      if (map->slots[i].value == NULL)
        break;
      home = home_of (map, map->slots[i].id, map->slots[i].number);
      if (((i - home) & mask) >= ((i - gap) & mask))
        {
          map->slots[gap] = map->slots[i];
          gap = i;
        }
    }
  map->slots[gap].value = NULL;
}

void *
mq_idmap_remove (struct mq_idmap *map, struct mq_id id, uint32_t number)
{
  struct slot *slot = find_slot (map, id, number);
  void *value = slot->value;

  if (value == NULL)
    return NULL;
  close_gap (map, (size_t)(slot - map->slots));
  map->count--;
  return value;
}

size_t
mq_idmap_count (const struct mq_idmap *map)
{
  return map->count;
}

void *
mq_idmap_next (const struct mq_idmap *map, size_t *position)
{
  while (*position < map->room)
    {
      void *value = map->slots[(*position)++].value;

      if (value != NULL)
        return value;
    }
  return NULL;
}
