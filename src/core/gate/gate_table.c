/* gate_table.c - intrusive hash maps, heaps and lists.

   Needs: gate_table.h.  */

#include "gate_table.h"
#include <stdlib.h>

enum
{
  FIRST_BUCKETS = 64,
  FIRST_ITEMS = 16
};

static struct gate_link **
create_buckets (TALLOC_CTX *owner, size_t count)
{
  struct gate_link **buckets
      = talloc_zero_array (owner, struct gate_link *, count);

  if (buckets == NULL)
    abort ();
  return buckets;
}

void
mq_gate_map_create (struct gate_map *map, TALLOC_CTX *owner)
{
  map->owner = owner;
  map->bucket_count = FIRST_BUCKETS;
  map->buckets = create_buckets (owner, map->bucket_count);
  map->count = 0;
}

static struct gate_link **
find_bucket (const struct gate_map *map, uint64_t hash)
{
  return &map->buckets[hash & (map->bucket_count - 1)];
}

struct gate_link *
mq_gate_map_find (const struct gate_map *map, uint64_t hash,
                  gate_map_equal *same, const void *key)
{
  struct gate_link *link = *find_bucket (map, hash);

  while (link != NULL && (link->hash != hash || !same (link, key)))
    link = link->next;
  return link;
}

static void
push_link (struct gate_map *map, struct gate_link *link)
{
  struct gate_link **bucket = find_bucket (map, link->hash);

  link->next = *bucket;
  *bucket = link;
}

static void
double_buckets (struct gate_map *map)
{
  struct gate_link **old = map->buckets;
  size_t old_count = map->bucket_count;

  map->bucket_count = 2 * old_count;
  map->buckets = create_buckets (map->owner, map->bucket_count);
  for (size_t i = 0; i < old_count; i++)
    for (struct gate_link *link = old[i]; link != NULL;)
      {
        struct gate_link *next = link->next;

        push_link (map, link);
        link = next;
      }
  talloc_free (old);
}

void
mq_gate_map_add (struct gate_map *map, struct gate_link *link, uint64_t hash)
{
  if (map->count >= map->bucket_count)
    double_buckets (map);
  link->hash = hash;
  push_link (map, link);
  map->count++;
}

void
mq_gate_map_remove (struct gate_map *map, struct gate_link *link)
{
  struct gate_link **at = find_bucket (map, link->hash);

  while (*at != NULL && *at != link)
    at = &(*at)->next;
  if (*at == NULL)
    return;
  *at = link->next;
  map->count--;
}

void
mq_gate_heap_create (struct gate_heap *heap, TALLOC_CTX *owner,
                     gate_heap_before *before, size_t offset)
{
  heap->owner = owner;
  heap->items = NULL;
  heap->count = 0;
  heap->capacity = 0;
  heap->before = before;
  heap->offset = offset;
}

static size_t *
position_of (const struct gate_heap *heap, void *item)
{
  return (size_t *)(void *)((char *)item + heap->offset);
}

static void
put_item (struct gate_heap *heap, size_t index, void *item)
{
  heap->items[index] = item;
  *position_of (heap, item) = index + 1;
}

static void
sift_up (struct gate_heap *heap, size_t index)
{
  void *item = heap->items[index];

  while (index > 0)
    {
      size_t parent = (index - 1) / 2;

      if (!heap->before (item, heap->items[parent]))
        break;
      put_item (heap, index, heap->items[parent]);
      index = parent;
    }
  put_item (heap, index, item);
}

static void
sift_down (struct gate_heap *heap, size_t index)
{
  void *item = heap->items[index];

  for (;;)
    {
      size_t child = 2 * index + 1;

      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && heap->before (heap->items[child + 1], heap->items[child]))
        child++;
      if (!heap->before (heap->items[child], item))
        break;
      put_item (heap, index, heap->items[child]);
      index = child;
    }
  put_item (heap, index, item);
}

void *
mq_gate_heap_first (const struct gate_heap *heap)
{
  return heap->count == 0 ? NULL : heap->items[0];
}

void
mq_gate_heap_add (struct gate_heap *heap, void *item)
{
  if (heap->count == heap->capacity)
    {
      heap->capacity = heap->capacity == 0 ? FIRST_ITEMS : 2 * heap->capacity;
      heap->items
          = talloc_realloc (heap->owner, heap->items, void *, heap->capacity);
      if (heap->items == NULL)
        abort ();
    }
  heap->items[heap->count++] = item;
  sift_up (heap, heap->count - 1);
}

void
mq_gate_heap_remove (struct gate_heap *heap, void *item)
{
  size_t position = *position_of (heap, item);
  void *last;

  if (position == 0)
    return;
  *position_of (heap, item) = 0;
  last = heap->items[--heap->count];
  if (last == item)
    return;
  put_item (heap, position - 1, last);
  mq_gate_heap_update (heap, last);
}

void
mq_gate_heap_update (struct gate_heap *heap, void *item)
{
  size_t position = *position_of (heap, item);

  if (position == 0)
    return;
  sift_up (heap, position - 1);
  sift_down (heap, *position_of (heap, item) - 1);
}

void
mq_gate_list_add (struct gate_list *list, struct gate_node *node)
{
  node->prev = list->last;
  node->next = NULL;
  if (list->last != NULL)
    list->last->next = node;
  else
    list->first = node;
  list->last = node;
  list->count++;
}

void
mq_gate_list_remove (struct gate_list *list, struct gate_node *node)
{
  if (node->prev != NULL)
    node->prev->next = node->next;
  else
    list->first = node->next;
  if (node->next != NULL)
    node->next->prev = node->prev;
  else
    list->last = node->prev;
  node->prev = NULL;
  node->next = NULL;
  list->count--;
}
