package resource

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Patch returns the resource with the labels and the spec of a JSON merge
// patch (RFC 7396) merged into it.
func Patch(o, patch Object) (Object, error) {
	var target, change map[string]any
	if err := json.Unmarshal(o.Spec, &target); err != nil {
		return o, errors.Wrap(err, "spec")
	}
	if len(patch.Spec) > 0 {
		if err := json.Unmarshal(patch.Spec, &change); err != nil {
			return o, errors.Wrap(err, "spec of the patch")
		}
	}
	spec, err := json.Marshal(merge(target, change))
	if err != nil {
		return o, err
	}
	o.Spec, o.Operation, o.decoded = spec, patch.Operation, nil
	if patch.Labels != nil {
		o.Labels = patch.Labels
	}
	return o, nil
}

// merge merges change into target. A null value removes a field.
func merge(target, change map[string]any) map[string]any {
	if target == nil {
		target = map[string]any{}
	}
	for key, value := range change {
		nested, isObject := value.(map[string]any)
		switch {
		case value == nil:
			delete(target, key)
		case isObject:
			inner, _ := target[key].(map[string]any)
			target[key] = merge(inner, nested)
		default:
			target[key] = value
		}
	}
	return target
}
