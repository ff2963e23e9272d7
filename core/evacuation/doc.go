// Package evacuation keeps the set of data halls that are being evacuated. The endpoints of such a hall get no
// requests until the operator ends the evacuation.
//
// The operators' records reach a node late, repeatedly and out of order, as complete lists and as single changes,
// from the store and from other nodes, and a store that was restored from a backup may lack some. A [Set] therefore
// knows the position of the operators' topic up to which it is complete, and the position of each hall's latest
// record; older information changes nothing.
//
//	var s evacuation.Set
//	s.Apply("hall-a", true, 7)          // a record at position 7
//	s.Evacuated("hall-a")               // true
//	s.Replace(nil, 9)                   // a complete list, as of position 9, without hall-a
//	s.Evacuated("hall-a")               // false
package evacuation
