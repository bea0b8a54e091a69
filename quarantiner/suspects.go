package quarantiner

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const maxRememberedCrashes = 8

// Fingerprint returns the name under which equal requests of a workspace are recognized.
func Fingerprint(parts ...string) string {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(":" + part)
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

// Suspects tracks which requests are in flight at one backend server, so that a crash is charged to the right ones.
type Suspects struct {
	mutex    sync.Mutex
	life     uint64
	inFlight map[string]int
	suspect  map[string]bool
	blamed   map[uint64]map[string]bool
}

func (suspects *Suspects) prepare() {
	if suspects.inFlight == nil {
		suspects.inFlight = map[string]int{}
		suspects.suspect = map[string]bool{}
	}
	if suspects.blamed == nil {
		suspects.blamed = map[uint64]map[string]bool{}
	}
}

// Enter records a request in flight in the present life of the backend server and refuses a suspect beside another one.
func (suspects *Suspects) Enter(fingerprint string, suspect bool) (life uint64, ok bool) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.prepare()
	if suspect && len(suspects.suspect) > 0 {
		return 0, false
	}
	suspects.inFlight[fingerprint]++
	if suspect {
		suspects.suspect[fingerprint] = true
	}
	return suspects.life, true
}

// Leave records that a request of the given life ended.
func (suspects *Suspects) Leave(fingerprint string, life uint64) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.prepare()
	if life != suspects.life {
		return
	}
	suspects.inFlight[fingerprint]--
	if suspects.inFlight[fingerprint] <= 0 {
		delete(suspects.inFlight, fingerprint)
		delete(suspects.suspect, fingerprint)
	}
}

// Crashed ends a life of the backend server and returns whether the crash is charged to the request: to the suspect in flight, or to all where there was none.
func (suspects *Suspects) Crashed(fingerprint string, life uint64) bool {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.prepare()
	if life == suspects.life {
		blamed := suspects.suspect
		if len(blamed) == 0 {
			blamed = map[string]bool{}
			for name := range suspects.inFlight {
				blamed[name] = true
			}
		}
		suspects.blamed[life] = blamed
		delete(suspects.blamed, life-maxRememberedCrashes)
		suspects.life++
		suspects.inFlight = nil
	}
	return suspects.blamed[life][fingerprint]
}
