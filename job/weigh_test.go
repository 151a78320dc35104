package job

import (
	"encoding/json"
	"testing"
	"unsafe"
)

// FuzzWeigh checks that no submission takes more memory when it is decoded than is charged
// for it.
func FuzzWeigh(f *testing.F) {
	for _, body := range []string{
		`{"team":"a","key":"b","pool":"c","tasks":[{"index":0,"payload":{"a":[1,2]}},{"index":1,"payload":"{,"}]}`,
		`{"tasks":[0,0,0,0]}`, `{"tasks":[null,null]}`, `{"Tasks":[{},{}],"tasks":[{}]}`, "",
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var s Submission
		_ = json.Unmarshal(body, &s)
		size := len(s.Tasks) * int(unsafe.Sizeof(Task{}))
		for _, x := range s.Tasks {
			size += len(x.Payload)
		}
		if weight := int(Weigh(body)); size > weight {
			t.Errorf("the tasks take %d bytes, %d are charged", size, weight)
		}
	})
}
